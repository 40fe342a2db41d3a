/**
 * Clients cancel jobs that wait for their end at one entry. With trouble, half of the clients have
 * moved to another zone meanwhile: their open channels stay, and their cancelling reaches the entry
 * of the other zone.
 */
final class CancelElsewhere {
    private static final long CANCEL_MILLIS = 3_000;
    private static final long STOP_TIMEOUT_MILLIS = 50;
    private static final int TASK_MILLIS = 1_300;
    private static final int JOBS = 6;

    private CancelElsewhere() {}

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, CancelElsewhere::run);
    }

    private static int run(Record record, boolean trouble) throws Exception {
        try (Rig rig = new Rig(record, 2, 3, 16_000)) {
            rig.configure(7, Rig.PREFIX);
            rig.startAll();
            if (!rig.awaitReady(20_000)) {
                record.line("the system is not ready");
                return Case.NOT_RUN;
            }
            // Longer than any contactMs of the small sites: all machines are in touch.
            Record.sleep(4_000);
            String body = job(5, TASK_MILLIS);
            long[] cancelledAt = new long[JOBS];
            for (int i = 0; i < JOBS; i++) {
                String id = id(i);
                Thread.ofVirtual()
                        .start(() -> rig.send(rig.mEntries.get(0), "POST", id, body, 30_000));
            }
            Record.sleep(500);
            for (int i = 0; i < JOBS; i++) {
                boolean moved = trouble && i % 2 == 1;
                Http.Response answer =
                        rig.send(rig.mEntries.get(moved ? 1 : 0), "DELETE", id(i), "", 4_000);
                if (answer.status() / 100 != 2 && answer.status() != 410) {
                    record.line("the cancelling has no ack");
                    return Case.NOT_RUN;
                }
                cancelledAt[i] = record.now();
            }
            Record.sleep(12_000);
            return check(rig, cancelledAt);
        }
    }

    private static String id(int job) {
        return String.format("5c0e7a21d94b36%02x", job);
    }

    /** Returns a job whose steps of two tasks come one after the other. */
    static String job(int stepCount, int taskMillis) {
        StringBuilder steps = new StringBuilder();
        for (int step = 0; step < stepCount; step++) {
            steps.append(step == 0 ? "" : ",")
                    .append("{\"count\":2,\"cpu\":1000,\"memMb\":64,\"estimateMs\":" + taskMillis)
                    .append(step == 0 ? "}" : ",\"after\":[" + (step - 1) + "]}");
        }
        return "{\"spec\":\"" + taskMillis + "\",\"bestEffort\":true,\"steps\":[" + steps + "]}";
    }

    private static int check(Rig rig, long[] cancelledAt) {
        int lateStarts = 0;
        int lateRuns = 0;
        for (Runner runner : rig.mRunners) {
            for (Runner.Run run : runner.runs()) {
                int job = Integer.parseInt(run.mTask.substring(14, 16), 16);
                long startAfter = run.mStartedAt - cancelledAt[job];
                long endAfter =
                        (run.mEndedAt < 0 ? rig.mRecord.now() : run.mEndedAt) - cancelledAt[job];
                if (startAfter > CANCEL_MILLIS) {
                    lateStarts++;
                    rig.mRecord.line(
                            "UNASKED: " + run.mTask + " starts " + startAfter
                                    + " ms after the cancelling was acknowledged");
                }
                if (endAfter > CANCEL_MILLIS + STOP_TIMEOUT_MILLIS) {
                    lateRuns++;
                }
            }
        }
        rig.mRecord.line(
                lateStarts + " starts later than " + CANCEL_MILLIS + " ms after the ack, " + lateRuns
                        + " runs go on later than " + (CANCEL_MILLIS + STOP_TIMEOUT_MILLIS) + " ms");
        return lateStarts + lateRuns > 0 ? Case.BROKEN : Case.HELD;
    }
}
