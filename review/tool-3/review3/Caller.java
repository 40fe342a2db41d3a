package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** A client: submits and cancels jobs that need not be stored. */
final class Caller {
    private final Fleet mFleet;
    private final Record mRecord;

    Caller(Fleet fleet, Record record) {
        mFleet = fleet;
        mRecord = record;
    }

    /**
     * Returns a job of single tasks that run one after the other.
     *
     * @param millis how long each takes
     */
    static String chain(int tasks, long millis) {
        List<Map<String, Object>> steps = new ArrayList<>();
        for (int step = 0; step < tasks; step++) {
            Map<String, Object> body = new LinkedHashMap<>();
            body.put("count", 1);
            body.put("cpu", 6200);
            body.put("memMb", 64);
            body.put("estimateMs", millis);
            if (step > 0) {
                body.put("after", List.of(step - 1));
            }
            steps.add(body);
        }
        return Json.write(
                Map.of("spec", millis + " hire", "steps", steps, "bestEffort", true));
    }

    /** Returns a job of equal tasks for runners of a kind. */
    static String forKind(String kind, int tasks, long millis) {
        Map<String, Object> step = new LinkedHashMap<>();
        step.put("count", tasks);
        step.put("cpu", 6200);
        step.put("memMb", 64);
        step.put("estimateMs", millis);
        step.put("requires", kind);
        return Json.write(
                Map.of("spec", millis + " hire", "steps", List.of(step), "bestEffort", true));
    }

    /** Submits a job on a connection of its own, and waits for the answer as long as it says. */
    CompletableFuture<Http.Response> submit(int entry, String id, String job, int waitMillis) {
        return CompletableFuture.supplyAsync(
                () -> {
                    mRecord.line("client sends POST %s to entry %d", id, entry);
                    Http.Response response =
                            Http.send(
                                    mFleet.front(entry),
                                    "POST",
                                    Fleet.PREFIX + id,
                                    Map.of(
                                            "Host", Fleet.HOST,
                                            "X-Jackdawsaddle-Deadline-Ms",
                                            Integer.toString(waitMillis)),
                                    job,
                                    waitMillis);
                    mRecord.line(
                            "client gets %s for POST %s from entry %d",
                            response.status() == 0 ? "no response" : response, id, entry);
                    return response;
                },
                task -> Thread.ofVirtual().start(task));
    }

    /** Cancels a job. */
    Http.Response cancel(int entry, String id) {
        mRecord.line("client sends DELETE %s to entry %d", id, entry);
        Http.Response response =
                Http.send(
                        mFleet.front(entry),
                        "DELETE",
                        Fleet.PREFIX + id,
                        Map.of("Host", Fleet.HOST, "X-Jackdawsaddle-Deadline-Ms", "4000"),
                        "",
                        4_000);
        mRecord.line(
                "client gets %s for DELETE %s from entry %d",
                response.status() == 0 ? "no response" : response, id, entry);
        return response;
    }
}
