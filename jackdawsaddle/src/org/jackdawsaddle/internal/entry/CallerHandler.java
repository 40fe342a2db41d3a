package org.jackdawsaddle.internal.entry;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.Headers;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.errors.RequestInvalidException;
import org.jackdawsaddle.internal.http.Replies;
import org.jackdawsaddle.internal.json.StrictJson;
import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.JobRequest;
import org.jackdawsaddle.job.SubmissionId;

/** The HTTP interface of callers: submit, read, cancel, and take ids. */
final class CallerHandler {
    private static final int MAX_IDS = 1_000;
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final String RETRY_SECONDS = "1";
    private static final int UNAVAILABLE = 503;
    private static final int TOO_MANY = 429;

    /** The reply with a whole answer. */
    record CompleteBody(String outcome, SubmissionId id, List<String> answers) {}

    /** The reply of a job that has not ended. */
    record PendingBody(String outcome, SubmissionId id, int tasksEnded, int tasks) {}

    /** The reply with issued ids. */
    record IdsBody(List<SubmissionId> ids) {}

    private final EntryControl mControl;

    CallerHandler(EntryControl control) {
        mControl = control;
    }

    void addTo(RoutingHandler routes) {
        routes.post("/v1/jobs", this::submitIssued);
        routes.put("/v1/jobs/{id}", this::submitNamed);
        routes.get("/v1/jobs/{id}", this::query);
        routes.delete("/v1/jobs/{id}", this::cancel);
        routes.post("/v1/ids", this::issue);
    }

    private void submitIssued(HttpServerExchange exchange) {
        Replies.withBody(
                exchange,
                text -> {
                    JobBody body = StrictJson.read(text, JobBody.class);
                    body.checkedDeadline(mControl.now());
                    mControl.issueIds(1, Optional.of(body.kind()))
                            .thenAccept(ids -> submit(exchange, ids.getFirst(), body));
                });
    }

    private void submitNamed(HttpServerExchange exchange) {
        Replies.withBody(
                exchange,
                text -> submit(exchange, id(exchange), StrictJson.read(text, JobBody.class)));
    }

    private void submit(HttpServerExchange exchange, SubmissionId id, JobBody body) {
        long deadline = body.checkedDeadline(mControl.now());
        JobRequest request = new JobRequest(id, body.team(), body.kind(), deadline, body.tasks());
        mControl.submit(request).thenAccept(answer -> reply(exchange, id, answer));
    }

    private void query(HttpServerExchange exchange) {
        Replies.later(
                exchange,
                () -> {
                    SubmissionId id = id(exchange);
                    mControl.query(id, parameter(exchange, "service"))
                            .thenAccept(answer -> reply(exchange, id, answer));
                });
    }

    private void cancel(HttpServerExchange exchange) {
        Replies.later(
                exchange,
                () -> {
                    mControl.cancel(id(exchange), parameter(exchange, "service"));
                    Replies.json(exchange, ACCEPTED, "{}");
                });
    }

    private void issue(HttpServerExchange exchange) {
        Replies.later(
                exchange,
                () -> {
                    int count = count(optional(exchange, "count").orElse("1"));
                    mControl.issueIds(count, optional(exchange, "kind"))
                            .thenAccept(ids -> Replies.json(exchange, OK, new IdsBody(ids)));
                });
    }

    private static int count(String text) {
        try {
            int count = Integer.parseInt(text);
            if (count >= 1 && count <= MAX_IDS) {
                return count;
            }
        } catch (NumberFormatException e) {
            throw new RequestInvalidException("count: not a number: " + text);
        }
        throw new RequestInvalidException("count: not from 1 to " + MAX_IDS);
    }

    private static SubmissionId id(HttpServerExchange exchange) {
        String text = parameter(exchange, "id");
        try {
            return SubmissionId.parse(text);
        } catch (IllegalArgumentException e) {
            throw new RequestInvalidException("id: not a UUID of version 7: " + text);
        }
    }

    private static String parameter(HttpServerExchange exchange, String name) {
        return optional(exchange, name)
                .orElseThrow(() -> new RequestInvalidException(name + ": parameter missing"));
    }

    private static Optional<String> optional(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(Deque::peekFirst);
    }

    private static void reply(HttpServerExchange exchange, SubmissionId id, JobAnswer answer) {
        switch (answer) {
            case JobAnswer.Complete complete ->
                    Replies.json(
                            exchange, OK, new CompleteBody("complete", id, complete.answers()));
            case JobAnswer.Pending pending ->
                    Replies.json(
                            exchange,
                            ACCEPTED,
                            new PendingBody("pending", id, pending.tasksEnded(), pending.tasks()));
            case JobAnswer.NotRun notRun -> {
                int status = notRun.code().httpStatus();
                if (status == UNAVAILABLE || status == TOO_MANY) {
                    exchange.getResponseHeaders().put(Headers.RETRY_AFTER, RETRY_SECONDS);
                }
                Replies.json(
                        exchange, status, Replies.body("not-run", notRun.code(), notRun.detail()));
            }
            case JobAnswer.Failed failed ->
                    Replies.json(
                            exchange,
                            failed.code().httpStatus(),
                            Replies.body("failed", failed.code(), failed.detail()));
        }
    }
}
