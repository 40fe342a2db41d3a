import java.util.List;

/** Clients send specs with letters outside ASCII, in UTF-8; runners have to get the same specs. */
final class SpecCase {
    private static final int WAIT_MILLIS = 5_000;

    private SpecCase() {}

    public static void main(String[] args) {
        Jobs.main(args[0], SpecCase::play);
    }

    private static boolean play(CaseRecord record, boolean trouble) throws Exception {
        List<String> specs =
                trouble
                        ? List.of("okse Bjørn, Førde work=50", "martillo, Talla Lítica work=50")
                        : List.of("okse Bjorn, Forde work=50", "martillo, Talla Litica work=50");
        try (Deployment deployment = new Deployment(record, 2, 2, false)) {
            deployment.configure(2, Jobs.ROUTE);
            deployment.start();
            Jobs.warmUp(deployment);
            boolean broken = false;
            for (String spec : specs) {
                Deployment.Machine edge = deployment.edges.get(specs.indexOf(spec));
                String id = Jobs.newId();
                record.line("client's spec is " + spec);
                try (Http.Channel channel = new Http.Channel(edge.front())) {
                    Jobs.submit(
                            record,
                            edge,
                            channel,
                            id,
                            Jobs.body(spec, 1, 2, 6_200, 50),
                            WAIT_MILLIS);
                }
                broken |= startedWithAnotherSpec(deployment, id, spec);
            }
            return broken;
        }
    }

    private static boolean startedWithAnotherSpec(Deployment deployment, String id, String spec) {
        boolean broken = false;
        for (Runner runner : deployment.runners) {
            for (Runner.Run run : runner.runs()) {
                if (run.task.startsWith(id) && !run.spec.equals(spec)) {
                    broken = true;
                    deployment.record.line(
                            "UNASKED: " + run.runner + " was told to start " + run.task
                                    + " with the spec " + run.spec + ", sent was " + spec);
                }
            }
        }
        return broken;
    }
}
