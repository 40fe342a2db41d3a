import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requests are served, then all processes of the system are killed at once and start again. With
 * trouble, heartbeats of another writer reach each sidecar from before that on, as often as those of
 * its runner: they name a service that the configuration doesn't.
 */
final class OddHeartbeat {
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final int REQUESTS = 60;

    private OddHeartbeat() {}

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, OddHeartbeat::run);
    }

    private static int run(Record record, boolean trouble) throws Exception {
        try (Rig rig = new Rig(record, 2, 3, 64_000)) {
            rig.configure(7, Rig.PREFIX);
            rig.startAll();
            if (!rig.awaitReady(20_000)) {
                record.line("the system is not ready");
                return Case.NOT_RUN;
            }
            Record.sleep(2_000);
            int before = served(rig, "a");
            if (before * 4 < REQUESTS) {
                record.line("less than a quarter is served before the fault");
                return Case.NOT_RUN;
            }
            for (int i = 0; trouble && i < rig.mSidecars.size(); i++) {
                int sidecar = i;
                long born = System.currentTimeMillis() - 1_000;
                Thread.ofVirtual().start(() -> sendOddHeartbeats(rig, sidecar, born));
            }
            Record.sleep(3_000);
            served(rig, "b");
            for (Rig.Machine machine : rig.machines()) {
                machine.kill();
            }
            Record.sleep(1_000);
            rig.startAll();
            record.line("the machines are back");
            Record.sleep(RECOVERY_MILLIS);
            int after = served(rig, "c");
            boolean broken = after * 4 < REQUESTS;
            record.line(
                    "before the final fault " + before + " of " + REQUESTS + " were served, "
                            + RECOVERY_MILLIS + " ms after the machines were back " + after
                            + (broken ? ": RECOVER is broken" : ""));
            return broken ? Case.BROKEN : Case.HELD;
        }
    }

    /** A runner of another installation announces itself here: its service isn't named here. */
    private static void sendOddHeartbeats(Rig rig, int sidecar, long born) {
        String id = "x-" + (sidecar + 1);
        String control = rig.mSidecars.get(sidecar).control();
        for (int sequence = 1; ; sequence++) {
            String body =
                    "{\"service\":\"elsewhere\",\"address\":\"" + rig.unusedAddress(sidecar)
                            + "\",\"zone\":\"z9\",\"version\":\"v1\",\"slots\":8,"
                            + "\"state\":\"ready\",\"coldMs\":0,"
                            + "\"capacity\":{\"cpu\":16000,\"memMb\":32768,\"gpu\":0},"
                            + "\"labels\":[\"a\"],\"clockMs\":"
                            + (System.currentTimeMillis() - born) + ",\"seq\":" + sequence
                            + ",\"born\":" + born + "}";
            rig.mRecord.line("another writer sends PUT /instances/" + id + " " + body);
            Http.Response response =
                    Http.call(control, "PUT", "/instances/" + id, control, body, 1_000);
            rig.mRecord.line("another writer has " + response.status() + " " + response.body());
            Record.sleep(HEARTBEAT_MILLIS);
        }
    }

    /** Sends requests with a time budget of 1.5 s and returns how many were served. */
    private static int served(Rig rig, String firstDigit) throws InterruptedException {
        AtomicInteger served = new AtomicInteger();
        Thread[] clients = new Thread[REQUESTS];
        for (int i = 0; i < REQUESTS; i++) {
            String id = firstDigit + String.format("%015x", i);
            Rig.Machine entry = rig.mEntries.get(i % rig.mEntries.size());
            clients[i] =
                    Thread.ofVirtual()
                            .start(() -> {
                                Http.Response response =
                                        rig.send(entry, "POST", id, Rig.job(2, 6_200, 85), 1_500);
                                if (response.status() == 200
                                        && response.body().contains("succeeded")) {
                                    served.incrementAndGet();
                                }
                            });
            Record.sleep(50);
        }
        for (Thread client : clients) {
            client.join();
        }
        rig.mRecord.line(served.get() + " of " + REQUESTS + " requests are served");
        return served.get();
    }
}
