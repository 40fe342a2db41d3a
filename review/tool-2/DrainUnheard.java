import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A runner drains and leaves while requests come. With trouble, heartbeats of another writer under
 * the runner's name come as well: they lack several fields, and their sequence is higher.
 */
final class DrainUnheard {
    private static final long DRAIN_MILLIS = 2_000;
    private static final long STAY_MILLIS = 6_000;
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final long FIRST_SEQUENCE = 1_000_000;

    private DrainUnheard() {}

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, DrainUnheard::run);
    }

    private static int run(Record record, boolean trouble) throws Exception {
        try (Rig rig = new Rig(record, 2, 2, 64_000)) {
            rig.configure(7, Rig.PREFIX);
            rig.startAll();
            if (!rig.awaitReady(20_000)) {
                record.line("the system is not ready");
                return Case.NOT_RUN;
            }
            // Longer than any contactMs of the small sites: all machines are in touch.
            Record.sleep(4_000);
            AtomicBoolean ended = new AtomicBoolean();
            Thread clients = Thread.ofVirtual().start(() -> sendRequests(rig, ended));
            Runner runner = rig.mRunners.get(0);
            if (trouble) {
                Thread.ofVirtual().start(() -> sendOldAgentsHeartbeats(rig, runner, ended));
            }
            Record.sleep(2_000);
            long drainingAt = runner.drain();
            if (drainingAt < 0) {
                record.line("the runner has no ack");
                return Case.NOT_RUN;
            }
            Record.sleep(STAY_MILLIS);
            runner.leave();
            ended.set(true);
            clients.join();
            return check(rig, runner, drainingAt);
        }
    }

    private static void sendOldAgentsHeartbeats(Rig rig, Runner runner, AtomicBoolean ended) {
        String control = rig.mSidecars.get(0).control();
        for (long sequence = FIRST_SEQUENCE; !ended.get(); sequence++) {
            String body = runner.oldAgentsHeartbeat(sequence);
            rig.mRecord.line("another writer sends PUT /instances/" + runner.id() + " " + body);
            Http.Response response =
                    Http.call(control, "PUT", "/instances/" + runner.id(), control, body, 1_000);
            rig.mRecord.line("another writer has " + response.status() + " " + response.body());
            Record.sleep(HEARTBEAT_MILLIS);
        }
    }

    private static void sendRequests(Rig rig, AtomicBoolean ended) {
        for (int i = 0; !ended.get(); i++) {
            String id = "d" + String.format("%015x", i);
            Rig.Machine entry = rig.mEntries.get(i % rig.mEntries.size());
            Thread.ofVirtual()
                    .start(() -> rig.send(entry, "POST", id, Rig.job(8, 6_200, 285), 3_000));
            Record.sleep(150);
        }
    }

    private static int check(Rig rig, Runner runner, long drainingAt) {
        int lateStarts = 0;
        int lost = 0;
        for (Runner.Run run : runner.runs()) {
            if (run.mStartedAt - drainingAt > DRAIN_MILLIS) {
                lateStarts++;
            }
            if (run.mHow.equals("gone")) {
                lost++;
            }
        }
        rig.mRecord.line(
                (lateStarts > 0 ? "DRAIN is broken: " : "") + lateStarts + " starts later than "
                        + DRAIN_MILLIS + " ms after the ack, " + lost + " runs lost with the runner");
        return lateStarts > 0 ? Case.BROKEN : Case.HELD;
    }
}
