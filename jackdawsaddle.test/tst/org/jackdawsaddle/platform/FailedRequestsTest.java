package org.jackdawsaddle.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jackdawsaddle.explain.JobTimeline;
import org.jackdawsaddle.explain.LogCollector;
import org.jackdawsaddle.explain.LogLine;
import org.jackdawsaddle.internal.http.HttpResponse;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.standin.platform.LocalPlatform;
import org.jackdawsaddle.standin.platform.PlatformFixture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Causes the three failed requests that docs/OPERATIONS.md describes, and checks that the logs
 * explain each of them: refused, abandoned after the loss of its worker, and late.
 */
public class FailedRequestsTest {
    private static final int LOOPBACK_NETWORK = 84;
    private static final long AWAIT_TIMEOUT_MILLIS = 20_000;
    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private final UnixClock mClock = new UnixClock();
    private CapturedLog mLog;
    private LocalPlatform mPlatform;

    @BeforeMethod
    public void start() throws InterruptedException {
        mLog = CapturedLog.attach();
        mPlatform = new LocalPlatform(LOOPBACK_NETWORK, 1, 2, mClock);
        mPlatform.start();
        await(() -> mPlatform.ready(0) && lineCount("sidecar-connected") == 2);
    }

    @AfterMethod
    public void stop() {
        mPlatform.stop();
        mLog.detach();
    }

    @Test
    public void explainsRefusedRequest() {
        List<CompletableFuture<HttpResponse>> responses = new ArrayList<>();
        for (int job = 0; job < 60; job++) {
            responses.add(mPlatform.submit(0, id(job), new PlatformFixture.Work(4, 200, 4)));
        }
        int refused = -1;
        for (int job = 0; job < responses.size(); job++) {
            refused = responses.get(job).join().status() == UNAVAILABLE ? job : refused;
        }
        assertTrue(refused >= 0, "none of 60 jobs that need 960 cores together was refused");
        JobTimeline timeline = timeline(id(refused));
        assertEquals(timeline.verdict(), JobTimeline.Verdict.REFUSED);
        LogLine lastLine = timeline.lines().get(timeline.lines().size() - 1);
        assertFalse(lastLine.field("reason").orElse("").isEmpty(), lastLine.details());
        assertTrue(lastLine.field("queue").isPresent(), lastLine.details());
    }

    @Test
    public void explainsRequestAbandonedAfterWorkerLoss() throws InterruptedException {
        CompletableFuture<HttpResponse> response =
                mPlatform.submit(0, id(1), new PlatformFixture.Work(2, 1_000, 16), 6_000);
        Thread.sleep(300);
        mPlatform.worker(0).stop();
        mPlatform.worker(1).stop();
        assertEquals(response.join().status(), GATEWAY_TIMEOUT);
        JobTimeline timeline = timeline(id(1));
        assertEquals(timeline.verdict(), JobTimeline.Verdict.ABANDONED);
        assertEvents(timeline, "target-silent", "runs-lost", "job-ended");
    }

    @Test
    public void explainsLateRequest() throws InterruptedException {
        mPlatform.worker(0).setStalled(true);
        mPlatform.worker(1).setStalled(true);
        CompletableFuture<HttpResponse> response =
                mPlatform.submit(0, id(1), new PlatformFixture.Work(1, 100, 4));
        await(() -> lineCount("run-overdue") > 0);
        mPlatform.worker(0).setStalled(false);
        mPlatform.worker(1).setStalled(false);
        assertTrue(response.join().body().contains("succeeded"));
        JobTimeline timeline = timeline(id(1));
        assertEquals(timeline.verdict(), JobTimeline.Verdict.LATE);
        assertEvents(timeline, "run-overdue", "job-ended");
    }

    private static void assertEvents(JobTimeline timeline, String... events) {
        List<String> logged = timeline.lines().stream().map(LogLine::event).toList();
        int from = 0;
        for (String event : events) {
            int index = logged.subList(from, logged.size()).indexOf(event);
            assertTrue(index >= 0, event + " is not in " + timeline.text());
            from += index;
        }
    }

    private JobTimeline timeline(String job) {
        LogCollector collector = new LogCollector(job);
        collector.read("all", mLog.lines().stream());
        return collector.timeline();
    }

    /** Returns the number of log lines that report an event. */
    private long lineCount(String event) {
        return mLog.lines().stream().filter(line -> line.contains("\"" + event + "\"")).count();
    }

    private static String id(int job) {
        return String.format("%016x", job + 0xabc000);
    }

    private interface Condition {
        boolean holds();
    }

    private void await(Condition condition) throws InterruptedException {
        long deadline = mClock.now() + AWAIT_TIMEOUT_MILLIS;
        while (!condition.holds()) {
            assertTrue(mClock.now() < deadline, String.join("", mLog.lines()));
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }
}
