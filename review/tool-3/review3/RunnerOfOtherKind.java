package review3;

import java.nio.file.Path;
import java.util.List;

/**
 * All jobs require kind a. With the disruption, one of the two runners of that kind crashes while
 * it works, and starts again under its id as a runner of kind b with the same capacity.
 */
final class RunnerOfOtherKind {
    private static final String KIND = "a";
    private static final List<String> KINDS = List.of(KIND, KIND, "b", "b", "b", "b", "b", "b");
    private static final long DOWN_MILLIS = 500;
    private static final int JOBS = 40;

    private RunnerOfOtherKind() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Fleet fleet = new Fleet(record, 2, KINDS)) {
            fleet.awaitReady(2);
            Caller caller = new Caller(fleet, record);
            caller.submit(0, id(1_000), Caller.forKind(KIND, 16, 1_500), 6_000);
            Thread.sleep(400);
            if (trouble) {
                fleet.runner(0).crash();
                Thread.sleep(DOWN_MILLIS);
                fleet.runner(0).restart("b");
            }
            Thread.sleep(6_000);
            record.line("the new boot has sent several heartbeats");
            for (int job = 0; job < JOBS; job++) {
                caller.submit(job % 2, id(job), Caller.forKind(KIND, 4, 300), 3_000);
                Thread.sleep(100);
            }
            Thread.sleep(3_000);
            List<RunnerStub.Run> runs = fleet.runs();
            exit = runs.isEmpty() ? 2 : 0;
            for (RunnerStub.Run run : runs) {
                if (!run.mKind.equals(KIND)) {
                    record.line(
                            "ROUTE: %s run %d starts at %d ms on %s, a runner of kind %s",
                            run.mTask, run.mRun, run.mStartedAt, run.mRunner, run.mKind);
                    exit = 1;
                }
            }
            record.line("exit %d", exit);
        }
        System.exit(exit);
    }

    private static String id(int number) {
        return String.format("%016x", number);
    }
}
