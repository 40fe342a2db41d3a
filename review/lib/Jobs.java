import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** Bodies of jobs, calls of clients, and checks that cases share. */
final class Jobs {
    static final String HOST = "nony24.example";
    static final String PREFIX = "/lohu930/";
    static final Deployment.Route ROUTE = new Deployment.Route("pedigree-clear", PREFIX);

    /** For a response that was sent at the end of the client's time and is still on its way. */
    private static final int ON_THE_WAY_MILLIS = 200;

    private Jobs() {}

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    /** Returns a best-effort job whose steps run one after the other. */
    static String body(String spec, int steps, int tasks, int cpu, long estimateMillis) {
        List<Object> list = new ArrayList<>();
        for (int step = 0; step < steps; step++) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("count", tasks);
            row.put("cpu", cpu);
            row.put("memMb", 64);
            row.put("estimateMs", estimateMillis);
            if (step > 0) {
                row.put("after", List.of(step - 1));
            }
            list.add(row);
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("spec", spec);
        body.put("steps", list);
        body.put("bestEffort", true);
        return Json.write(body);
    }

    /** Submits a job and waits for the response; records both. Returns the status, 0 for none. */
    static int submit(
            CaseRecord record,
            Deployment.Machine edge,
            Http.Channel channel,
            String id,
            String body,
            int waitMillis) {
        record.line("client sends POST " + id + " to " + edge.name);
        try {
            Http.Reply reply =
                    channel.call(
                            "POST",
                            HOST,
                            PREFIX + id,
                            body,
                            Map.of("X-Jackdawsaddle-Deadline-Ms", Integer.toString(waitMillis)),
                            waitMillis + ON_THE_WAY_MILLIS);
            record.line("client gets " + reply.status() + " " + reply.body() + " for " + id
                    + " from " + edge.name);
            return reply.status();
        } catch (IOException e) {
            record.line("client gets no response for " + id + " from " + edge.name + ": " + e);
            return 0;
        }
    }

    /** Runs a few short jobs at each entry, so that all processes are connected and warm. */
    static void warmUp(Deployment deployment) throws Exception {
        for (int round = 0; round < 5; round++) {
            for (Deployment.Machine edge : deployment.edges) {
                try (Http.Channel channel = new Http.Channel(edge.front())) {
                    int status =
                            submit(
                                    deployment.record,
                                    edge,
                                    channel,
                                    newId(),
                                    body("warm-up work=20", 1, 4, 6_200, 20),
                                    5_000);
                    if (status != 200 && round == 4) {
                        throw new IllegalStateException("warm-up at " + edge.name + ": " + status);
                    }
                }
            }
        }
    }

    /** Records each pair of runs of one task that were there at the same time; returns their number. */
    static int countSimultaneousRuns(Deployment deployment) {
        List<Runner.Run> runs = new ArrayList<>();
        deployment.runners.forEach(runner -> runs.addAll(runner.runs()));
        long now = deployment.record.now();
        int pairs = 0;
        for (int i = 0; i < runs.size(); i++) {
            for (int j = i + 1; j < runs.size(); j++) {
                Runner.Run a = runs.get(i);
                Runner.Run b = runs.get(j);
                long from = Math.max(a.start, b.start);
                long to = Math.min(a.end < 0 ? now : a.end, b.end < 0 ? now : b.end);
                if (a.task.equals(b.task) && to > from) {
                    pairs++;
                    deployment.record.line(
                            "TWICE: " + a.task + " runs at " + a.runner + " (run " + a.run + ") and at "
                                    + b.runner + " (run " + b.run + ") at the same time for "
                                    + (to - from) + " ms, from " + from / 1000.0 + " s");
                }
            }
        }
        return pairs;
    }

    interface Body {
        /** Plays the case; returns whether the rule was broken. */
        boolean play(CaseRecord record, boolean trouble) throws Exception;
    }

    /** Plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void main(String folder, Body body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try {
            CaseRecord record = new CaseRecord(java.nio.file.Path.of(folder, "record.txt"));
            record.line(trouble ? "with the disruption" : "without the disruption");
            boolean broken = body.play(record, trouble);
            record.line(broken ? "the rule was broken" : "the rule held");
            code = broken ? 1 : 0;
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(code);
    }
}
