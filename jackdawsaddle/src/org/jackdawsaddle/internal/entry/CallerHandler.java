package org.jackdawsaddle.internal.entry;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.Headers;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.errors.RequestInvalidException;
import org.jackdawsaddle.internal.http.HttpExchanges;
import org.jackdawsaddle.internal.json.StrictJson;
import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.JobRequest;
import org.jackdawsaddle.job.SubmissionId;

/** The HTTP interface of callers: submits, queries and cancels jobs, and issues submission ids. */
final class CallerHandler {
    private static final int MAX_IDS = 1_000;
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final String RETRY_AFTER_SECONDS = "1";
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int TOO_MANY_REQUESTS = 429;

    /** The response for a completed job, with the answers in the order of its tasks. */
    record CompleteBody(String outcome, SubmissionId id, List<String> answers) {}

    /** The response for a job that has not ended. */
    record PendingBody(String outcome, SubmissionId id, int tasksEnded, int tasks) {}

    /** The response with issued submission ids. */
    record IdsBody(List<SubmissionId> ids) {}

    private final EntryApi mEntry;

    CallerHandler(EntryApi entry) {
        mEntry = entry;
    }

    void addTo(RoutingHandler routes) {
        routes.post("/v1/jobs", this::submitWithIssuedId);
        routes.put("/v1/jobs/{id}", this::submitWithCallerId);
        routes.get("/v1/jobs/{id}", this::query);
        routes.delete("/v1/jobs/{id}", this::cancel);
        routes.post("/v1/ids", this::issueIds);
    }

    private void submitWithIssuedId(HttpServerExchange exchange) {
        HttpExchanges.receiveBody(
                exchange,
                text -> {
                    JobBody body = StrictJson.read(text, JobBody.class);
                    body.validatedDeadline(mEntry.now());
                    HttpExchanges.respond(
                            exchange,
                            mEntry.issueIds(1, Optional.of(body.kind())),
                            ids -> submit(exchange, ids.getFirst(), body));
                });
    }

    private void submitWithCallerId(HttpServerExchange exchange) {
        HttpExchanges.receiveBody(
                exchange,
                text -> submit(exchange, parseId(exchange), StrictJson.read(text, JobBody.class)));
    }

    private void submit(HttpServerExchange exchange, SubmissionId id, JobBody body) {
        long deadline = body.validatedDeadline(mEntry.now());
        JobRequest request = new JobRequest(id, body.team(), body.kind(), deadline, body.tasks());
        HttpExchanges.respond(
                exchange, mEntry.submit(request), answer -> reply(exchange, id, answer));
    }

    private void query(HttpServerExchange exchange) {
        HttpExchanges.dispatch(
                exchange,
                () -> {
                    SubmissionId id = parseId(exchange);
                    HttpExchanges.respond(
                            exchange,
                            mEntry.query(id, parameter(exchange, "service")),
                            answer -> reply(exchange, id, answer));
                });
    }

    private void cancel(HttpServerExchange exchange) {
        HttpExchanges.dispatch(
                exchange,
                () -> {
                    mEntry.cancel(parseId(exchange), parameter(exchange, "service"));
                    HttpExchanges.sendJson(exchange, ACCEPTED, "{}");
                });
    }

    private void issueIds(HttpServerExchange exchange) {
        HttpExchanges.dispatch(
                exchange,
                () -> {
                    int count = parseCount(optionalParameter(exchange, "count").orElse("1"));
                    HttpExchanges.respond(
                            exchange,
                            mEntry.issueIds(count, optionalParameter(exchange, "kind")),
                            ids -> HttpExchanges.sendJson(exchange, OK, new IdsBody(ids)));
                });
    }

    private static int parseCount(String text) {
        try {
            int count = Integer.parseInt(text);
            if (count >= 1 && count <= MAX_IDS) {
                return count;
            }
        } catch (NumberFormatException e) {
            throw new RequestInvalidException("count: not a number: " + text);
        }
        throw new RequestInvalidException("count: must be between 1 and " + MAX_IDS);
    }

    private static SubmissionId parseId(HttpServerExchange exchange) {
        String text = parameter(exchange, "id");
        try {
            return SubmissionId.parse(text);
        } catch (IllegalArgumentException e) {
            throw new RequestInvalidException("id: not a UUID of version 7: " + text);
        }
    }

    private static String parameter(HttpServerExchange exchange, String name) {
        return optionalParameter(exchange, name)
                .orElseThrow(() -> new RequestInvalidException(name + ": parameter missing"));
    }

    private static Optional<String> optionalParameter(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(Deque::peekFirst);
    }

    private static void reply(HttpServerExchange exchange, SubmissionId id, JobAnswer answer) {
        switch (answer) {
            case JobAnswer.Complete complete ->
                    HttpExchanges.sendJson(
                            exchange, OK, new CompleteBody("complete", id, complete.answers()));
            case JobAnswer.Pending pending ->
                    HttpExchanges.sendJson(
                            exchange,
                            ACCEPTED,
                            new PendingBody("pending", id, pending.tasksEnded(), pending.tasks()));
            case JobAnswer.NotRun notRun -> {
                int status = notRun.code().httpStatus();
                if (status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS) {
                    exchange.getResponseHeaders().put(Headers.RETRY_AFTER, RETRY_AFTER_SECONDS);
                }
                HttpExchanges.sendJson(
                        exchange,
                        status,
                        HttpExchanges.errorBody("not-run", notRun.code(), notRun.detail()));
            }
            case JobAnswer.Failed failed ->
                    HttpExchanges.sendJson(
                            exchange,
                            failed.code().httpStatus(),
                            HttpExchanges.errorBody("failed", failed.code(), failed.detail()));
        }
    }
}
