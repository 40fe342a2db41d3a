/**
 * Clients cancel jobs that wait for their end. With trouble, a configuration has removed the queue of
 * the jobs meanwhile; without, it has removed another one.
 */
final class CancelRemovedQueue {
    private static final long CONFIGURATION_MILLIS = 2_000;
    private static final long ACK_TIMEOUT_MILLIS = 4_000;
    private static final long CANCEL_MILLIS = 3_000;
    private static final long STOP_TIMEOUT_MILLIS = 50;
    private static final int TASK_MILLIS = 1_300;
    private static final int STEPS = 16;
    private static final int JOBS = 4;

    private CancelRemovedQueue() {}

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, CancelRemovedQueue::run);
    }

    private static int run(Record record, boolean trouble) throws Exception {
        try (Rig rig = new Rig(record, 2, 3, 16_000)) {
            rig.configure(7, Rig.PREFIX, "/other/");
            rig.startAll();
            if (!rig.awaitReady(20_000)) {
                record.line("the system is not ready");
                return Case.NOT_RUN;
            }
            // Longer than any contactMs of the small sites: all machines are in touch.
            Record.sleep(4_000);
            for (int i = 0; i < JOBS; i++) {
                String id = id(i);
                String body = job();
                Thread.ofVirtual()
                        .start(() -> rig.send(rig.mEntries.get(0), "POST", id, body, 30_000));
            }
            Record.sleep(500);
            rig.configure(11, trouble ? "/other/" : Rig.PREFIX);
            Record.sleep(CONFIGURATION_MILLIS + 500);
            long[] stopBy = new long[JOBS];
            for (int i = 0; i < JOBS; i++) {
                long sentAt = record.now();
                Http.Response answer = rig.send(rig.mEntries.get(0), "DELETE", id(i), "", 4_000);
                boolean acknowledged = answer.status() / 100 == 2 || answer.status() == 410;
                stopBy[i] =
                        (acknowledged ? record.now() : sentAt + ACK_TIMEOUT_MILLIS) + CANCEL_MILLIS;
            }
            Record.sleep(STEPS * TASK_MILLIS);
            return check(rig, stopBy);
        }
    }

    private static String id(int job) {
        return String.format("7d0e7a21d94b36%02x", job);
    }

    /** Returns a job whose steps of two tasks come one after the other. */
    private static String job() {
        StringBuilder steps = new StringBuilder();
        for (int step = 0; step < STEPS; step++) {
            steps.append(step == 0 ? "" : ",")
                    .append("{\"count\":2,\"cpu\":1000,\"memMb\":64,\"estimateMs\":" + TASK_MILLIS)
                    .append(step == 0 ? "}" : ",\"after\":[" + (step - 1) + "]}");
        }
        return "{\"spec\":\"" + TASK_MILLIS + "\",\"bestEffort\":true,\"steps\":[" + steps + "]}";
    }

    private static int check(Rig rig, long[] stopBy) {
        int lateStarts = 0;
        int lateRuns = 0;
        for (Runner runner : rig.mRunners) {
            for (Runner.Run run : runner.runs()) {
                int job = Integer.parseInt(run.mTask.substring(14, 16), 16);
                long endedAt = run.mEndedAt < 0 ? rig.mRecord.now() : run.mEndedAt;
                if (run.mStartedAt > stopBy[job]) {
                    lateStarts++;
                    rig.mRecord.line(
                            "UNASKED: " + run.mTask + " starts " + (run.mStartedAt - stopBy[job])
                                    + " ms after its job had to be gone");
                }
                if (endedAt > stopBy[job] + STOP_TIMEOUT_MILLIS) {
                    lateRuns++;
                }
            }
        }
        rig.mRecord.line(
                lateStarts + " starts and " + lateRuns + " runs after their job had to be gone");
        return lateStarts + lateRuns > 0 ? Case.BROKEN : Case.HELD;
    }
}
