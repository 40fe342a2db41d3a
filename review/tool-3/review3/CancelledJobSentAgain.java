package review3;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A job is cancelled while it runs. Its client gets 504 for the job and, with the disruption, sends
 * it again after the resend delay, as the protocol says of 504.
 */
final class CancelledJobSentAgain {
    private static final long RESEND_MILLIS = 1_300;
    private static final String ID = "5c0e7a21d94b36f8";

    private CancelledJobSentAgain() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Fleet fleet = new Fleet(record, 2, List.of("a", "a", "b"))) {
            fleet.awaitReady(2);
            Caller caller = new Caller(fleet, record);
            String job = Caller.chain(5, 1_200);
            CompletableFuture<Http.Response> answer = caller.submit(0, ID, job, 12_000);
            Thread.sleep(700);
            Http.Response cancelled = caller.cancel(0, ID);
            long cancelledAt = record.now();
            Http.Response first = answer.join();
            if (trouble && (first.status() == 502 || first.status() == 504)) {
                Thread.sleep(RESEND_MILLIS);
                caller.submit(1, ID, job, 12_000).join();
            } else {
                Thread.sleep(8_000);
            }
            boolean acknowledged = cancelled.status() / 100 == 2 || cancelled.status() == 410;
            if (acknowledged && fleet.runs().size() > 0) {
                exit = CancelCheck.held(record, fleet.runs(), ID, cancelledAt) ? 0 : 1;
            }
            record.line("exit %d", exit);
        }
        System.exit(exit);
    }
}
