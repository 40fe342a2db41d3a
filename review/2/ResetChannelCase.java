import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A client's channel is reset while its job runs; the client sends the job again to another node. */
final class ResetChannelCase {
    private static final int WORK_MILLIS = 2_500;
    private static final int WAIT_MILLIS = 6_000;
    private static final int RESEND_MILLIS = 1_300;

    private ResetChannelCase() {}

    public static void main(String[] args) {
        Jobs.main(args[0], ResetChannelCase::play);
    }

    private static boolean play(CaseRecord record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, 4, 4, false)) {
            deployment.configure(2, Jobs.ROUTE);
            deployment.start();
            Jobs.warmUp(deployment);
            List<Thread> clients = new ArrayList<>();
            // Two clients at each entry; one channel of the two at the first entry is reset.
            for (int i = 0; i < 8; i++) {
                int edge = i % 4;
                boolean reset = trouble && i == 0;
                clients.add(Thread.ofVirtual().start(() -> client(deployment, edge, reset)));
            }
            for (Thread client : clients) {
                client.join();
            }
            Thread.sleep(1_000);
            return Jobs.countSimultaneousRuns(deployment) > 0;
        }
    }

    private static void client(Deployment deployment, int edge, boolean reset) {
        String id = Jobs.newId();
        String body = Jobs.body("pedigree work=" + WORK_MILLIS, 1, 4, 6_200, WORK_MILLIS);
        long start = deployment.record.now();
        try (Http.Channel channel = new Http.Channel(deployment.edges.get(edge).front())) {
            if (reset) {
                Thread.ofVirtual().start(() -> resetLater(deployment, channel));
            }
            int status =
                    Jobs.submit(
                            deployment.record,
                            deployment.edges.get(edge),
                            channel,
                            id,
                            body,
                            WAIT_MILLIS);
            if (status != 0) {
                return;
            }
            Thread.sleep(RESEND_MILLIS);
            Deployment.Machine other = deployment.edges.get((edge + 1) % 4);
            int left = (int) (WAIT_MILLIS - (deployment.record.now() - start));
            try (Http.Channel again = new Http.Channel(other.front())) {
                Jobs.submit(deployment.record, other, again, id, body, left);
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void resetLater(Deployment deployment, Http.Channel channel) {
        try {
            Thread.sleep(300);
            channel.reset();
            deployment.record.line("the client's channel is reset");
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
