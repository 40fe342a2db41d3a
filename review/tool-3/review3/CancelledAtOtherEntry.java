package review3;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A job runs by way of entry 0. With the disruption that entry freezes for 3.4 s; meanwhile the
 * client cancels the job at entry 1, which acknowledges it.
 */
final class CancelledAtOtherEntry {
    private static final String ID = "93065cea86d8fc66";

    private CancelledAtOtherEntry() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Fleet fleet = new Fleet(record, 2, List.of("a", "a", "b"))) {
            fleet.awaitReady(2);
            Caller caller = new Caller(fleet, record);
            CompletableFuture<Http.Response> answer =
                    caller.submit(0, ID, Caller.chain(10, 1_200), 25_000);
            Thread.sleep(700);
            if (trouble) {
                fleet.signal("edge-0", "STOP");
            }
            Thread.sleep(2_800);
            Http.Response cancelled = caller.cancel(1, ID);
            long cancelledAt = record.now();
            Thread.sleep(600);
            if (trouble) {
                fleet.signal("edge-0", "CONT");
            }
            answer.join();
            Thread.sleep(1_000);
            boolean acknowledged = cancelled.status() / 100 == 2 || cancelled.status() == 410;
            if (acknowledged && fleet.runs().size() > 0) {
                exit = CancelCheck.held(record, fleet.runs(), ID, cancelledAt) ? 0 : 1;
            }
            record.line("exit %d", exit);
        }
        System.exit(exit);
    }
}
