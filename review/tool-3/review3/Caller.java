package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** A client: submits and cancels jobs that need not be stored. */
final class Caller {
    private static final long RESEND_MILLIS = 1_300;

    /** How long the tasks of resent jobs take: longer than their clients wait at first. */
    private static final long LONG_WORK_MILLIS = 6_000;

    private static final int SECOND_BUDGET_MILLIS = 2_500;

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

    /** Returns a job of equal tasks, for runners of a kind. */
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

    /**
     * Submits a job of one long task to entry 0. Without a response, or after a 504, submits it
     * again to entry 1, one resend delay later.
     *
     * @param budgetMillis how long the client waits at first
     */
    CompletableFuture<Http.Response> submitUntilAnswered(int job, int budgetMillis) {
        String id = String.format("%016x", 0xa0 + job);
        String body = forKind("a", 1, LONG_WORK_MILLIS);
        return submit(0, id, body, budgetMillis)
                .thenComposeAsync(
                        first -> {
                            if (first.status() != 0 && first.status() != 504) {
                                return CompletableFuture.completedFuture(first);
                            }
                            pause();
                            return submit(1, id, body, SECOND_BUDGET_MILLIS);
                        },
                        task -> Thread.ofVirtual().start(task));
    }

    private static void pause() {
        try {
            Thread.sleep(RESEND_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
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
