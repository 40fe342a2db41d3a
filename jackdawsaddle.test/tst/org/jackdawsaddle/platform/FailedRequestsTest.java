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
import org.jackdawsaddle.internal.http.HttpAnswer;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.standin.platform.PlatformPicture;
import org.jackdawsaddle.standin.platform.PlatformPlan;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Makes the three failed requests of docs/OPERATIONS.md happen and finds their causes in logs. */
public class FailedRequestsTest {
    private static final int NETWORK = 84;
    private static final long PATIENCE_MILLIS = 20_000;
    private static final long POLL_MILLIS = 20;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private final UnixClock mClock = new UnixClock();
    private CapturedLog mLog;
    private PlatformPicture mPicture;

    @BeforeMethod
    public void start() throws InterruptedException {
        mLog = CapturedLog.begin();
        mPicture = new PlatformPicture(NETWORK, 1, 2, mClock);
        mPicture.start();
        await(() -> mPicture.ready(0) && count("sidecar-connected") == 2);
    }

    @AfterMethod
    public void stop() {
        mPicture.stop();
        mLog.end();
    }

    @Test
    public void tellsWhyARequestWasRefused() {
        List<CompletableFuture<HttpAnswer>> answers = new ArrayList<>();
        for (int job = 0; job < 60; job++) {
            answers.add(mPicture.submit(0, id(job), new PlatformPlan.Work(4, 200, 4)));
        }
        int refused = -1;
        for (int job = 0; job < answers.size(); job++) {
            refused = answers.get(job).join().status() == UNAVAILABLE ? job : refused;
        }
        assertTrue(refused >= 0, "120 cores of work were taken at once");
        JobTimeline story = story(id(refused));
        assertEquals(story.verdict(), JobTimeline.Verdict.REFUSED);
        LogLine answer = story.lines().get(story.lines().size() - 1);
        assertFalse(answer.field("reason").orElse("").isEmpty(), answer.details());
        assertTrue(answer.field("queue").isPresent(), answer.details());
    }

    @Test
    public void tellsThatARequestFailedAfterItsWorkerWent() throws InterruptedException {
        CompletableFuture<HttpAnswer> answer =
                mPicture.submit(0, id(1), new PlatformPlan.Work(2, 1_000, 16), 6_000);
        Thread.sleep(300);
        mPicture.worker(0).stop();
        mPicture.worker(1).stop();
        assertEquals(answer.join().status(), GATEWAY_TIMEOUT);
        JobTimeline story = story(id(1));
        assertEquals(story.verdict(), JobTimeline.Verdict.ABANDONED);
        assertEvents(story, "target-silent", "runs-lost", "job-ended");
    }

    @Test
    public void tellsWhatMadeARequestLate() throws InterruptedException {
        mPicture.worker(0).standStill(true);
        mPicture.worker(1).standStill(true);
        CompletableFuture<HttpAnswer> answer =
                mPicture.submit(0, id(1), new PlatformPlan.Work(1, 100, 4));
        await(() -> count("run-overdue") > 0);
        mPicture.worker(0).standStill(false);
        mPicture.worker(1).standStill(false);
        assertTrue(answer.join().body().contains("succeeded"));
        JobTimeline story = story(id(1));
        assertEquals(story.verdict(), JobTimeline.Verdict.LATE);
        assertEvents(story, "run-overdue", "job-ended");
    }

    private static void assertEvents(JobTimeline story, String... events) {
        List<String> told = story.lines().stream().map(LogLine::event).toList();
        int from = 0;
        for (String event : events) {
            int at = told.subList(from, told.size()).indexOf(event);
            assertTrue(at >= 0, event + " is not in " + story.text());
            from += at;
        }
    }

    private JobTimeline story(String job) {
        LogCollector collector = new LogCollector(job);
        collector.read("all", mLog.lines().stream());
        return collector.timeline();
    }

    private long count(String event) {
        return mLog.lines().stream().filter(line -> line.contains("\"" + event + "\"")).count();
    }

    private static String id(int job) {
        return String.format("%016x", job + 0xabc000);
    }

    private interface Condition {
        boolean holds();
    }

    private void await(Condition condition) throws InterruptedException {
        long deadline = mClock.now() + PATIENCE_MILLIS;
        while (!condition.holds()) {
            assertTrue(mClock.now() < deadline, String.join("", mLog.lines()));
            Thread.sleep(POLL_MILLIS);
        }
    }
}
