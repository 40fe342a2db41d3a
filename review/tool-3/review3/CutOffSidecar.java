package review3;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Jobs of one task each run longer than their clients wait, whose time budgets end one after the
 * other. With the disruption, a sidecar is cut off from all entries in the midst of that, and its
 * runner leaves orders to stop unanswered for a while. The clients send their jobs again to the
 * other entry, one resend delay after they got no answer or 504.
 */
final class CutOffSidecar {
    private static final int JOBS = 48;
    private static final int FIRST_BUDGET_MILLIS = 2_000;
    private static final int BUDGET_STEP_MILLIS = 12;
    private static final int ENTRIES = 2;
    private static final long CUT_AFTER_MILLIS = 2_150;
    private static final long CUT_MILLIS = 4_000;
    private static final int CUT_SIDECAR = 0;

    private CutOffSidecar() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Fleet fleet = new Fleet(record, ENTRIES, List.of("a", "a", "a", "a", "a", "a"))) {
            fleet.awaitReady(ENTRIES);
            Caller caller = new Caller(fleet, record);
            List<CompletableFuture<Http.Response>> answers = new ArrayList<>();
            for (int job = 0; job < JOBS; job++) {
                int budget = FIRST_BUDGET_MILLIS + job * BUDGET_STEP_MILLIS;
                answers.add(caller.submitUntilAnswered(job, budget));
            }
            Thread.sleep(CUT_AFTER_MILLIS);
            if (trouble) {
                int ordersBefore = fleet.orders();
                record.line("side-%d is cut off from all entries", CUT_SIDECAR);
                for (int entry = 0; entry < ENTRIES; entry++) {
                    fleet.links().cut(CUT_SIDECAR, entry);
                }
                fleet.runner(CUT_SIDECAR).leaveStopsUnanswered(CUT_MILLIS);
                Thread.sleep(CUT_MILLIS);
                for (int entry = 0; entry < ENTRIES; entry++) {
                    fleet.links().heal(CUT_SIDECAR, entry);
                }
                record.line(
                        "the cut has healed; %d of %d orders meanwhile got no answer",
                        fleet.unanswered(), fleet.orders() - ordersBefore);
            }
            for (CompletableFuture<Http.Response> answer : answers) {
                answer.join();
            }
            List<RunnerStub.Run> runs = fleet.runs();
            boolean ran = runs.stream().anyMatch(run -> run.mRunner.equals("i-" + CUT_SIDECAR));
            if (ran) {
                exit = TwiceCheck.held(record, runs) ? 0 : 1;
            }
            record.line("exit %d", exit);
        }
        System.exit(exit);
    }
}
