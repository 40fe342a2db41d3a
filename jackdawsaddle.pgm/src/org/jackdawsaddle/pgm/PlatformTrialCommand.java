package org.jackdawsaddle.pgm;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.jackdawsaddle.internal.http.HttpResponse;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.standin.platform.LocalPlatform;
import org.jackdawsaddle.standin.platform.PlatformFixture;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Submits jobs to entries on loopback, with stand-ins for the store and the workers. */
@Command(
        name = "trial",
        mixinStandardHelpOptions = true,
        description = "Submits jobs to entries on loopback; exits 1 unless all succeed.")
final class PlatformTrialCommand implements Callable<Integer> {
    private static final int LOOPBACK_NETWORK = 77;
    private static final int ENTRY_COUNT = 2;
    private static final int WORKER_COUNT = 3;
    private static final int TASKS_PER_JOB = 4;
    private static final double TASK_MILLIS = 20;
    private static final double CORES_PER_TASK = 2;
    private static final long READY_TIMEOUT_MILLIS = 20_000;
    private static final long READY_CHECK_INTERVAL_MILLIS = 50;
    private static final long SUBMIT_INTERVAL_MILLIS = 10;

    @Option(
            names = "--jobs",
            defaultValue = "200",
            description = "Number of jobs to submit (default: ${DEFAULT-VALUE}).")
    private int mJobCount;

    @Override
    public Integer call() throws InterruptedException {
        UnixClock clock = new UnixClock();
        LocalPlatform platform =
                new LocalPlatform(LOOPBACK_NETWORK, ENTRY_COUNT, WORKER_COUNT, clock);
        platform.start();
        try {
            awaitReady(platform, clock);
            long succeededJobs = runJobs(platform);
            System.out.println(succeededJobs + " of " + mJobCount + " jobs succeeded");
            return succeededJobs == mJobCount ? Main.OK : Main.NEGATIVE_RESULT;
        } finally {
            platform.stop();
        }
    }

    /** Waits until all entries are ready, or until the timeout, after which jobs may fail. */
    private static void awaitReady(LocalPlatform platform, UnixClock clock)
            throws InterruptedException {
        long deadline = clock.now() + READY_TIMEOUT_MILLIS;
        for (int entry = 0; entry < ENTRY_COUNT; entry++) {
            while (!platform.ready(entry) && clock.now() < deadline) {
                Thread.sleep(READY_CHECK_INTERVAL_MILLIS);
            }
        }
    }

    private long runJobs(LocalPlatform platform) throws InterruptedException {
        List<CompletableFuture<HttpResponse>> responses = new ArrayList<>();
        for (int job = 0; job < mJobCount; job++) {
            String id = String.format("%016x", job);
            responses.add(
                    platform.submit(
                            job % ENTRY_COUNT,
                            id,
                            new PlatformFixture.Work(TASKS_PER_JOB, TASK_MILLIS, CORES_PER_TASK)));
            Thread.sleep(SUBMIT_INTERVAL_MILLIS);
        }
        return responses.stream()
                .map(pending ->
                        pending.handle(
                                (response, failure) -> failure == null && succeeded(response)))
                .filter(CompletableFuture::join)
                .count();
    }

    private static boolean succeeded(HttpResponse response) {
        return response.succeeded() && response.body().contains("succeeded");
    }
}
