package org.jackdawsaddle.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.http.HttpClient;
import org.jackdawsaddle.internal.http.HttpRequest;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.pool.TargetIncarnation;
import org.jackdawsaddle.standin.platform.LocalPlatform;
import org.jackdawsaddle.standin.platform.PlatformFixture;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Guards against an odd entry of another writer, among the announcements or in the store, that
 * makes a sidecar end or follow its target no longer.
 */
public class OddAnnouncementTest {
    private static final int LOOPBACK_NETWORK = 188;
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final int NESTING = 100_000;
    private static final long FAR_FUTURE = 9_000_000_000_000_000_000L;
    private static final Demand CAPACITY = new Demand(16, 1_000, 0);

    private final UnixClock mClock = new UnixClock();
    private final PlatformFixture mFixture = new PlatformFixture(LOOPBACK_NETWORK);
    private final HttpClient mHttpClient = new HttpClient(mClock, 1);
    private LocalPlatform mPlatform;

    @BeforeClass
    public void start() throws InterruptedException {
        mHttpClient.start();
        List<TargetIncarnation> stored = storedEntries();
        mPlatform = new LocalPlatform(mFixture, 1, stored.size(), mClock);
        for (int worker = 0; worker < stored.size(); worker++) {
            String instance = mFixture.sidecar(worker, List.of(), "").instance();
            mPlatform
                    .store()
                    .put("jackdawsaddle/targets/" + instance, Json.write(stored.get(worker)));
        }
        mPlatform.start();
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        mPlatform.stop();
        mHttpClient.stop();
    }

    private static List<TargetIncarnation> storedEntries() {
        return List.of(
                stored(FAR_FUTURE, "127.188.0.1:18165", CAPACITY),
                stored(1, "127.188.0.1:99999", CAPACITY),
                stored(1, "127.188.0.1:0", CAPACITY),
                stored(1, null, CAPACITY),
                stored(1, "127.188.0.1:18165", null),
                stored(1, "127.188.0.1:18165", new Demand(9e15, Long.MAX_VALUE, 1)));
    }

    private static TargetIncarnation stored(long startedAt, String address, Demand capacity) {
        return new TargetIncarnation(
                "odd", startedAt, 0, "ledger", address, capacity, List.of(), false, 1);
    }

    private static List<String> oddAnnouncements() {
        return List.of(
                "no json",
                "[]",
                announcement("\"extra\":" + "[".repeat(NESTING) + "]".repeat(NESTING)),
                announcement("\"labels\":" + "[".repeat(900) + "]".repeat(900)),
                announcement("\"labels\":[null]"),
                announcement("\"seq\":1e400"),
                announcement("\"clockMs\":99999999999999999999"),
                announcement("\"clockMs\":" + FAR_FUTURE),
                announcement("\"born\":" + FAR_FUTURE),
                announcement("\"capacity\":{\"cpu\":" + FAR_FUTURE + ",\"memMb\":1}"),
                announcement("\"capacity\":{\"cpu\":-1,\"memMb\":1}"),
                announcement("\"address\":\"127.188.0.1:99999\""),
                announcement("\"address\":\"127.188.0.1:99999999999\""),
                announcement("\"address\":\"127.188.0.1:0\""),
                announcement("\"address\":\"127.188.0.1\""),
                announcement("\"address\":\":18165\""),
                announcement("\"address\":\"no host:18165\""),
                announcement("\"service\":\"\""));
    }

    /** Returns an announcement that supersedes any real one, with one odd field. */
    private static String announcement(String oddField) {
        StringBuilder body = new StringBuilder("{").append(oddField);
        String[] fields = {
            "\"service\":\"ledger\"",
            "\"address\":\"127.188.0.1:18165\"",
            "\"state\":\"ready\"",
            "\"capacity\":{\"cpu\":16000,\"memMb\":1000}",
            "\"clockMs\":1",
            "\"seq\":1000000",
            "\"born\":" + (System.currentTimeMillis() + 60_000)
        };
        for (String field : fields) {
            String name = field.substring(0, field.indexOf(':'));
            if (!oddField.startsWith(name)) {
                body.append(',').append(field);
            }
        }
        return body.append('}').toString();
    }

    @Test
    public void followsItsTargetDespiteAnOddEntryInTheStore() throws InterruptedException {
        awaitTasksOnAllWorkers("a");
    }

    @Test(dependsOnMethods = "followsItsTargetDespiteAnOddEntryInTheStore")
    public void followsItsTargetAfterOddAnnouncements() throws InterruptedException {
        for (String announcement : oddAnnouncements()) {
            HttpRequest request =
                    new HttpRequest(
                            "PUT",
                            announcementAddress(),
                            "/instances/odd",
                            announcement,
                            mClock.now() + TIMEOUT_MILLIS);
            assertEquals(mHttpClient.send(request).join().status(), 200, announcement);
        }
        awaitTasksOnAllWorkers("b");
    }

    /** Returns where the first sidecar takes announcements. */
    private String announcementAddress() {
        return mFixture.sidecar(0, List.of(), "").announcementAddress();
    }

    /** Submits jobs, whose ids begin with a digit, until each worker has started some of them. */
    private void awaitTasksOnAllWorkers(String firstDigit) throws InterruptedException {
        long deadline = mClock.now() + TIMEOUT_MILLIS;
        for (int job = 0; !allStarted(firstDigit); job++) {
            assertTrue(mClock.now() < deadline, "started by " + startedBy(firstDigit));
            String id = firstDigit + String.format("%015x", job);
            mPlatform.submit(0, id, new PlatformFixture.Work(12, 20, 8));
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private boolean allStarted(String firstDigit) {
        return startedBy(firstDigit).size() == storedEntries().size();
    }

    private Set<Integer> startedBy(String firstDigit) {
        return IntStream.range(0, storedEntries().size())
                .filter(worker ->
                        mPlatform.worker(worker).startedTasks().stream()
                                .anyMatch(task -> task.startsWith(firstDigit)))
                .boxed()
                .collect(Collectors.toSet());
    }
}
