package org.jackdawsaddle.internal.sidecar;

import java.net.ConnectException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.jackdawsaddle.internal.http.HttpAnswer;
import org.jackdawsaddle.internal.http.HttpCall;
import org.jackdawsaddle.internal.http.HttpCaller;
import org.jackdawsaddle.internal.message.TaskKey;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.internal.sidecar.SidecarEvent.TargetAnswered;

/** Gives tasks to the target by HTTP. */
public final class TargetClient {
    private static final String KIND_HEADER = "Job-Kind";
    private static final long STOP_PATIENCE_MILLIS = 2_000;

    private final HttpCaller mCaller;
    private final UnixClock mClock;

    /** Creates a client. */
    public TargetClient(HttpCaller caller, UnixClock clock) {
        mCaller = caller;
        mClock = clock;
    }

    /** Runs a task; the future always ends with what became of it. */
    public CompletableFuture<TargetAnswered> run(SidecarAction.RunTask run) {
        long startedAt = System.nanoTime();
        TaskKey task = run.task().task();
        HttpCall call =
                new HttpCall(
                        "POST",
                        run.address(),
                        path(task),
                        Map.of(KIND_HEADER, run.task().kind()),
                        run.task().payload(),
                        run.deadline());
        return mCaller.call(call)
                .handle((answer, failure) ->
                        new TargetAnswered(
                                task,
                                outcome(answer, failure),
                                failure == null ? answer.body() : failure.toString(),
                                micros(startedAt)));
    }

    /** Asks the target to stop a task; the run itself tells how it ended. */
    public void stop(SidecarAction.StopTask stop) {
        long deadline = mClock.now() + STOP_PATIENCE_MILLIS;
        mCaller.call(new HttpCall("DELETE", stop.address(), path(stop.task()), "", deadline));
    }

    private static TargetAnswered.Outcome outcome(HttpAnswer answer, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof ConnectException) {
            return TargetAnswered.Outcome.REFUSED;
        }
        return failure == null && answer.succeeded()
                ? TargetAnswered.Outcome.COMPLETED
                : TargetAnswered.Outcome.FAILED;
    }

    private static String path(TaskKey task) {
        return "/tasks/" + task.id() + "/" + task.index();
    }

    private static long micros(long startedAt) {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startedAt);
    }
}
