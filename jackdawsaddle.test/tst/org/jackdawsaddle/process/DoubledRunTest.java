package org.jackdawsaddle.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Comparator;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.jackdawsaddle.internal.http.HttpResponse;
import org.jackdawsaddle.standin.platform.PlatformFixture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Plays faults on real processes after which a task is started again, and checks that its first run
 * has ended by then.
 */
public class DoubledRunTest {
    private static final int LOOPBACK_NETWORK = Integer.getInteger("doubled.network", 120);
    private static final long READY_TIMEOUT_MILLIS = 12_000;
    private static final long POLL_INTERVAL_MILLIS = 10;

    /** Time from the start until all workers have announced themselves. */
    private static final long DISCOVERY_MILLIS = 1_500;

    /** A job of a few tasks for each worker, which run on for long after the faults. */
    private static final PlatformFixture.Work LONG_WORK = new PlatformFixture.Work(9, 2_000, 4);

    private static final long JOB_TIMEOUT_MILLIS = 8_000;

    /** Time from the submission until the runs are known to everyone. */
    private static final long SETTLE_MILLIS = 400;

    /** For how long a worker refuses connections. */
    private static final long REFUSAL_MILLIS = 300;

    private static final String JOB_ID = "00000000000000a1";

    private SoakFleet mFleet;

    @BeforeMethod
    public void startFleet() {
        mFleet = new SoakFleet(LOOPBACK_NETWORK);
        mFleet.start();
        long deadline = mFleet.mClock.now() + READY_TIMEOUT_MILLIS;
        while (!IntStream.range(0, SoakFleet.ENTRIES).allMatch(mFleet::ready)) {
            assertTrue(mFleet.mClock.now() < deadline, "entries ready");
            ProcessFleet.sleep(POLL_INTERVAL_MILLIS);
        }
        ProcessFleet.sleep(DISCOVERY_MILLIS);
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.stop();
    }

    /** A worker that closes its listener is no dead worker: its runs go on. */
    @Test(groups = "known-red")
    public void workerThatRefusesConnectionsForAMoment() {
        CompletableFuture<HttpResponse> answer = submit();
        int worker = busiestWorker();
        mFleet.mWorkerProxies.get(worker).stopListening();
        ProcessFleet.sleep(REFUSAL_MILLIS);
        mFleet.mWorkerProxies.get(worker).listen();
        check("refuses and comes back", answer);
    }

    /** As above, but the worker dies afterwards and a new incarnation takes its place. */
    @Test(groups = "known-red")
    public void workerThatRefusesConnectionsBeforeItDies() {
        CompletableFuture<HttpResponse> answer = submit();
        int worker = busiestWorker();
        mFleet.mWorkerProxies.get(worker).stopListening();
        ProcessFleet.sleep(REFUSAL_MILLIS);
        mFleet.mWorkers.get(worker).restart();
        mFleet.mWorkerProxies.get(worker).listen();
        check("refuses and dies", answer);
    }

    /** The tasks of a worker that died run again at once, and none of them twice at a time. */
    @Test
    public void workerThatDies() {
        CompletableFuture<HttpResponse> answer = submit();
        int worker = busiestWorker();
        mFleet.mWorkerProxies.get(worker).stopListening();
        mFleet.mWorkers.get(worker).restart();
        ProcessFleet.sleep(REFUSAL_MILLIS);
        mFleet.mWorkerProxies.get(worker).listen();
        RunMargins margins = check("dies", answer);
        assertTrue(margins.repeatedRuns() > 0, "runs were repeated");
    }

    private CompletableFuture<HttpResponse> submit() {
        CompletableFuture<HttpResponse> answer =
                mFleet.mHttpClient.send(
                        mFleet.mFixture.jobRequest(
                                0,
                                SoakFleet.QUEUE,
                                JOB_ID,
                                LONG_WORK,
                                JOB_TIMEOUT_MILLIS,
                                mFleet.mClock.now() + JOB_TIMEOUT_MILLIS));
        ProcessFleet.sleep(SETTLE_MILLIS);
        return answer;
    }

    private int busiestWorker() {
        return IntStream.range(0, SoakFleet.WORKERS)
                .boxed()
                .max(
                        Comparator.comparingInt(
                                worker -> mFleet.mWorkers.get(worker).runningTasks().size()))
                .orElseThrow();
    }

    /** Awaits the answer, prints the smallest margin and fails if runs were concurrent. */
    private RunMargins check(String scenario, CompletableFuture<HttpResponse> answer) {
        String status =
                answer.handle((response, failure) ->
                                response == null ? "none" : response.status() + "")
                        .join();
        RunMargins margins = new RunMargins(mFleet.mWorkers);
        System.out.printf(
                "doubled runs, %s: answer %s, %d runs repeated, smallest margin %s ms, logs in %s%n",
                scenario, status, margins.repeatedRuns(), margins.smallestMillis(), mFleet.mFolder);
        assertEquals(String.join("\n", margins.concurrentRuns()), "", scenario);
        return margins;
    }
}
