package org.jackdawsaddle.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import org.jackdawsaddle.internal.http.HttpClient;
import org.jackdawsaddle.internal.http.HttpRequest;
import org.jackdawsaddle.internal.http.HttpResponse;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.standin.platform.KvStandIn;
import org.jackdawsaddle.standin.platform.LocalPlatform;
import org.jackdawsaddle.standin.platform.PlatformFixture;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** End-to-end test on loopback: stand-ins for store and workers, real entries and sidecars. */
public class LocalPlatformTest {
    private static final int LOOPBACK_NETWORK = 81;
    private static final long READY_TIMEOUT_MILLIS = 20_000;
    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final String ENTRY_ADDRESS = "127.81.0.2:18161";
    private static final String SIDECAR_ADDRESS = "127.81.0.100:18166";

    private final UnixClock mClock = new UnixClock();
    private final HttpClient mHttpClient = new HttpClient(mClock, 1);
    private LocalPlatform mPlatform;

    @BeforeClass
    public void start() throws InterruptedException {
        mHttpClient.start();
        mPlatform = new LocalPlatform(LOOPBACK_NETWORK, 2, 3, mClock);
        mPlatform.start();
        awaitReady(0);
        awaitReady(1);
    }

    @AfterClass
    public void stop() {
        mPlatform.stop();
        mHttpClient.stop();
    }

    @Test
    public void servesAJobThroughEachEntry() {
        assertServed(0, "00000000000000a1");
        assertServed(1, "00000000000000a2");
    }

    @Test
    public void exportsMetricsOfServedJobs() {
        assertServed(0, "00000000000000e1");
        assertMetric("127.81.0.2:9464", "jackdawsaddle_job_seconds_count{outcome=\"succeeded\"}");
        assertMetric("127.81.0.2:9464", "jackdawsaddle_entry_tasks_done_total");
        assertMetric("127.81.0.2:9464", "jackdawsaddle_log_lines_dropped_total");
        assertMetric("127.81.0.2:9464", "jackdawsaddle_task_wait_seconds_count");
        assertMetric("127.81.0.2:9464", "jackdawsaddle_run_seconds_count{outcome=\"done\"}");
        assertMetric("127.81.0.2:9464", "jackdawsaddle_store_calls_total{result=\"200\"}");
        assertMetric("127.81.0.2:9464", "jackdawsaddle_configuration_age_seconds");
        assertMetric("127.81.0.2:9464", "jackdawsaddle_oldest_view_seconds");
        assertMetric("127.81.0.100:9464", "jackdawsaddle_sidecar_target_lives_total");
    }

    private void assertMetric(String address, String name) {
        HttpRequest request = new HttpRequest("GET", address, "/metrics", "", mClock.now() + 5_000);
        String text = mHttpClient.send(request).join().body();
        assertTrue(text.contains(name), text);
    }

    @Test
    public void rejectsUnknownQueuesAndMalformedIds() {
        assertEquals(send("GET", "/checks/", "").status(), 200);
        assertEquals(send("GET", "/unknown/", "").status(), 404);
        assertEquals(send("GET", "/checks/00000000000000ff", "").status(), 410);
        assertEquals(send("POST", "/checks/no-id", "{}").status(), 400);
    }

    @Test
    public void rejectsUnreadableAndUnsupportedJobs() {
        assertEquals(send("POST", "/checks/00000000000000b1", "{\"spec\":").status(), 400);
        assertEquals(send("POST", "/checks/00000000000000b2", "{\"steps\":[]}").status(), 400);
        String halfASurrogatePair =
                "{\"spec\":\"1 1 \\ud83d\",\"bestEffort\":true"
                        + ",\"steps\":[{\"count\":1,\"cpu\":1}]}";
        assertEquals(send("POST", "/checks/00000000000000b5", halfASurrogatePair).status(), 400);
        String notBestEffort = "{\"spec\":\"1 1\",\"steps\":[{\"count\":1,\"cpu\":1}]}";
        assertEquals(send("POST", "/checks/00000000000000b3", notBestEffort).status(), 503);
        String tooLarge =
                "{\"spec\":\"1 1\",\"bestEffort\":true,\"steps\":[{\"count\":1,\"cpu\":99000}]}";
        HttpResponse response = send("POST", "/checks/00000000000000b4", tooLarge);
        assertEquals(response.status(), 200);
        assertTrue(response.body().contains("failed"));
    }

    /**
     * Guards against an entry that runs out of memory, or counts capacity twice, for one odd job.
     */
    @Test
    public void rejectsJobsWhoseNumbersCannotBeTrue() {
        for (String steps :
                new String[] {
                    "{\"count\":2000000000,\"cpu\":1}",
                    "{\"count\":9000,\"cpu\":1},{\"count\":9000,\"cpu\":1}",
                    "{\"count\":1,\"cpu\":-16000}",
                    "{\"count\":1,\"cpu\":1,\"memMb\":-1}",
                    "{\"count\":1,\"cpu\":1,\"gpu\":-1}",
                    "{\"count\":1,\"cpu\":1,\"estimateMs\":-1}",
                    "{\"count\":1,\"cpu\":1,\"after\":[0]}",
                    "{\"count\":1,\"cpu\":1,\"after\":[null]}"
                }) {
            String body = "{\"spec\":\"1 1\",\"bestEffort\":true,\"steps\":[" + steps + "]}";
            assertEquals(send("POST", "/checks/00000000000000f1", body).status(), 400, steps);
        }
    }

    @Test
    public void ignoresUnreadableAnnouncements() {
        for (String body :
                new String[] {
                    "no json",
                    "{}",
                    "{\"service\":7,\"address\":\"x\",\"state\":\"ready\"}",
                    "{\"service\":\"ledger\",\"address\":\"x\",\"state\":\"odd\","
                            + "\"capacity\":{\"cpu\":1},\"clockMs\":1,\"seq\":1}"
                }) {
            HttpRequest request =
                    new HttpRequest(
                            "PUT", SIDECAR_ADDRESS, "/instances/x", body, mClock.now() + 1_000);
            assertEquals(mHttpClient.send(request).join().status(), 200);
        }
        assertServed(0, "00000000000000c1");
    }

    @Test
    public void servesDuringAStoreOutage() throws InterruptedException {
        mPlatform.store().setFault(KvStandIn.Fault.UNRESPONSIVE);
        assertServed(0, "00000000000000d1");
        mPlatform.store().setFault(KvStandIn.Fault.REJECTING);
        Thread.sleep(POLL_INTERVAL_MILLIS);
        assertServed(1, "00000000000000d2");
        mPlatform.store().setFault(KvStandIn.Fault.NONE);
    }

    private void awaitReady(int entry) throws InterruptedException {
        long deadline = mClock.now() + READY_TIMEOUT_MILLIS;
        while (!mPlatform.ready(entry)) {
            assertFalse(
                    mClock.now() > deadline, "entry " + entry + " did not become ready in time");
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private void assertServed(int entry, String id) {
        HttpResponse response =
                mPlatform.submit(entry, id, new PlatformFixture.Work(4, 10, 2)).join();
        assertEquals(response.status(), 200);
        assertTrue(response.body().contains("succeeded"), response.body());
    }

    private HttpResponse send(String method, String path, String body) {
        Map<String, String> host = Map.of("Host", "bulls.example");
        return mHttpClient
                .send(
                        new HttpRequest(
                                method, ENTRY_ADDRESS, path, host, body, mClock.now() + 5_000))
                .join();
    }
}
