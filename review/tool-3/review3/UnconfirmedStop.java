package review3;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Jobs of one task each run longer than their clients wait. With the disruption, entry 1 has no
 * path to one sidecar, whose runner leaves orders to stop unanswered and carries them out late. The
 * clients send their jobs again to entry 1, one resend delay after they got no response or 504.
 */
final class UnconfirmedStop {
    private static final int JOBS = 40;
    private static final int BUDGET_MILLIS = 2_200;
    private static final long TROUBLE_AFTER_MILLIS = 1_000;
    private static final long TROUBLE_MILLIS = 5_000;
    private static final int SIDECAR = 0;
    private static final int ENTRIES = 4;

    private UnconfirmedStop() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Fleet fleet = new Fleet(record, ENTRIES, List.of("a", "a", "a", "a", "a", "a"))) {
            fleet.awaitReady(ENTRIES);
            Caller caller = new Caller(fleet, record);
            List<CompletableFuture<Http.Response>> answers = new ArrayList<>();
            for (int job = 0; job < JOBS; job++) {
                answers.add(caller.submitUntilAnswered(job, BUDGET_MILLIS));
            }
            Thread.sleep(TROUBLE_AFTER_MILLIS);
            if (trouble) {
                int ordersBefore = fleet.orders();
                record.line("the path between side-%d and entry 1 is cut", SIDECAR);
                fleet.links().cut(SIDECAR, 1);
                fleet.runner(SIDECAR).leaveStopsUnanswered(TROUBLE_MILLIS);
                Thread.sleep(TROUBLE_MILLIS);
                fleet.links().heal(SIDECAR, 1);
                record.line(
                        "the cut has healed; %d of %d orders meanwhile got no answer",
                        fleet.unanswered(), fleet.orders() - ordersBefore);
            }
            for (CompletableFuture<Http.Response> answer : answers) {
                answer.join();
            }
            List<RunnerStub.Run> runs = fleet.runs();
            boolean ran = runs.stream().anyMatch(run -> run.mRunner.equals("i-" + SIDECAR));
            if (ran) {
                exit = TwiceCheck.held(record, runs) ? 0 : 1;
            }
            record.line("exit %d", exit);
        }
        System.exit(exit);
    }
}
