import java.io.IOException;

/**
 * The channels between an entry and the sidecars go silent just before a job's time budget ends; the
 * client gets 504 and sends the job again to another entry.
 */
final class LostStopCase {
    private static final int WORK_MILLIS = 3_600;
    private static final int WAIT_MILLIS = 1_500;
    private static final int SILENT_AFTER_MILLIS = 1_200;
    private static final int RESEND_MILLIS = 1_300;

    private LostStopCase() {}

    public static void main(String[] args) {
        Jobs.main(args[0], LostStopCase::play);
    }

    private static boolean play(CaseRecord record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, 4, 4, true)) {
            deployment.configure(2, Jobs.ROUTE);
            deployment.start();
            Jobs.warmUp(deployment);
            Thread client = Thread.ofVirtual().start(() -> client(deployment));
            if (trouble) {
                Thread.sleep(SILENT_AFTER_MILLIS);
                for (Deployment.Machine side : deployment.sides) {
                    deployment.entryProxies(side).forEach(Proxy::silence);
                }
                record.line("the open channels between entries and sidecars go silent");
            }
            client.join();
            Thread.sleep(2_000);
            return Jobs.countSimultaneousRuns(deployment) > 0;
        }
    }

    private static void client(Deployment deployment) {
        String id = Jobs.newId();
        String body = Jobs.body("pedigree work=" + WORK_MILLIS, 1, 4, 6_200, WORK_MILLIS);
        for (int attempt = 0; attempt < 2; attempt++) {
            Deployment.Machine edge = deployment.edges.get(attempt);
            try (Http.Channel channel = new Http.Channel(edge.front())) {
                int status =
                        Jobs.submit(deployment.record, edge, channel, id, body, WAIT_MILLIS);
                if (status != 0 && status != 502 && status != 504) {
                    return;
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            try {
                Thread.sleep(RESEND_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
