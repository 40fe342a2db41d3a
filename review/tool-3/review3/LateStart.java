package review3;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Jobs of one long task each. With the disruption, one runner leaves all orders unanswered for 1.4 s
 * and carries them out 2.5 s later. Clients keep waiting and send nothing again.
 */
final class LateStart {
    private static final int JOBS_BEFORE = 12;
    private static final int JOBS_DURING = 34;
    private static final long WORK_MILLIS = 6_000;
    private static final int BUDGET_MILLIS = 14_000;
    private static final long TROUBLE_MILLIS = 1_400;
    private static final int RUNNER = 0;

    private LateStart() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Fleet fleet = new Fleet(record, 2, List.of("a", "a", "a", "a", "a", "a"))) {
            fleet.awaitReady(2);
            Caller caller = new Caller(fleet, record);
            List<CompletableFuture<Http.Response>> answers = new ArrayList<>();
            for (int job = 0; job < JOBS_BEFORE; job++) {
                answers.add(submit(caller, job));
            }
            Thread.sleep(1_000);
            int ordersBefore = fleet.orders();
            if (trouble) {
                fleet.runner(RUNNER).leaveOrdersUnanswered(TROUBLE_MILLIS);
            }
            for (int job = 0; job < JOBS_DURING; job++) {
                answers.add(submit(caller, JOBS_BEFORE + job));
            }
            Thread.sleep(TROUBLE_MILLIS);
            record.line(
                    "%d of %d orders in this time got no answer",
                    fleet.unanswered(), fleet.orders() - ordersBefore);
            for (CompletableFuture<Http.Response> answer : answers) {
                answer.join();
            }
            List<RunnerStub.Run> runs = fleet.runs();
            boolean ran = runs.stream().anyMatch(run -> run.mRunner.equals("i-" + RUNNER));
            if (ran) {
                exit = TwiceCheck.held(record, runs) ? 0 : 1;
            }
            record.line("exit %d", exit);
        }
        System.exit(exit);
    }

    private static CompletableFuture<Http.Response> submit(Caller caller, int job) {
        String id = String.format("%016x", 0x1a0 + job);
        return caller.submit(job % 2, id, Caller.forKind("a", 1, WORK_MILLIS), BUDGET_MILLIS);
    }
}
