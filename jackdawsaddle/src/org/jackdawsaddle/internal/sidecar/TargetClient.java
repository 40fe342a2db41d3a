package org.jackdawsaddle.internal.sidecar;

import java.net.ConnectException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.jackdawsaddle.internal.http.HttpClient;
import org.jackdawsaddle.internal.http.HttpRequest;
import org.jackdawsaddle.internal.http.HttpResponse;
import org.jackdawsaddle.internal.message.TaskKey;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.internal.sidecar.SidecarEvent.TargetAnswered;

/** Runs and stops tasks on the target over HTTP. */
public final class TargetClient {
    private static final String JOB_KIND_HEADER = "Job-Kind";
    private static final long STOP_TIMEOUT_MILLIS = 2_000;

    private final HttpClient mHttpClient;
    private final UnixClock mClock;

    /** Creates a client that sends its requests through the given HTTP client. */
    public TargetClient(HttpClient httpClient, UnixClock clock) {
        mHttpClient = httpClient;
        mClock = clock;
    }

    /**
     * Runs a task, with the deadline of the action as timeout. The future never fails: errors are
     * reported as an outcome.
     */
    public CompletableFuture<TargetAnswered> run(SidecarAction.RunTask run) {
        long startNanos = System.nanoTime();
        TaskKey task = run.task().task();
        HttpRequest request =
                new HttpRequest(
                        "POST",
                        run.address(),
                        path(task),
                        Map.of(JOB_KIND_HEADER, run.task().kind()),
                        run.task().payload(),
                        run.deadline());
        return mHttpClient
                .send(request)
                .handle((response, failure) ->
                        new TargetAnswered(
                                task,
                                outcome(response, failure),
                                failure == null ? response.body() : failure.toString(),
                                elapsedMicros(startNanos)));
    }

    /**
     * Asks the target to stop a task, without waiting for the response. The outcome of the task is
     * reported by the future that {@link #run} returned.
     */
    public void stop(SidecarAction.StopTask stop) {
        long deadline = mClock.now() + STOP_TIMEOUT_MILLIS;
        mHttpClient.send(
                new HttpRequest("DELETE", stop.address(), path(stop.task()), "", deadline));
    }

    private static TargetAnswered.Outcome outcome(HttpResponse response, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof ConnectException) {
            return TargetAnswered.Outcome.REFUSED;
        }
        return failure == null && response.succeeded()
                ? TargetAnswered.Outcome.COMPLETED
                : TargetAnswered.Outcome.FAILED;
    }

    private static String path(TaskKey task) {
        return "/tasks/" + task.id() + "/" + task.index();
    }

    private static long elapsedMicros(long startNanos) {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
    }
}
