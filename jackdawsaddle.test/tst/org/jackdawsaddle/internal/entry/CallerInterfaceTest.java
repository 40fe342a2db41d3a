package org.jackdawsaddle.internal.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.security.SecureRandom;
import java.util.Map;
import org.jackdawsaddle.internal.http.HttpRequest;
import org.jackdawsaddle.internal.http.HttpResponse;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.job.SubmissionId;
import org.jackdawsaddle.standin.fleet.Deployment;
import org.jackdawsaddle.standin.fleet.FleetSpec;
import org.jackdawsaddle.standin.fleet.LocalFleet;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the HTTP interface of two entries for callers and operators. */
public class CallerInterfaceTest {
    private static final String JOB =
            "{\"team\": \"fjordhorn\", \"kind\": \"availability\", \"tasks\": [{\"payload\":"
                    + " \"30 a\"}, {\"payload\": \"10 b\"}]}";
    private LocalFleet mFleet;

    @BeforeClass
    public void startFleet() {
        mFleet = new LocalFleet(FleetSpec.deployment(Deployment.FJORDHORN, 2));
        mFleet.start();
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        mFleet.stop();
    }

    private HttpResponse call(int entry, String method, String path, String body) {
        return call(entry, method, path, body, Map.of());
    }

    private HttpResponse call(
            int entry, String method, String path, String body, Map<String, String> headers) {
        long deadline = mFleet.clock().now() + 10_000;
        String address = mFleet.httpAddresses().get(entry);
        return mFleet.httpClient()
                .send(new HttpRequest(method, address, path, headers, body, deadline))
                .join();
    }

    private static JsonNode json(HttpResponse response) {
        return Json.read(response.body(), JsonNode.class);
    }

    private String newId() {
        return SubmissionId.create(mFleet.clock().now(), new SecureRandom()).toString();
    }

    @Test
    public void jobIsAnsweredThroughEitherEntry() {
        for (int entry = 0; entry < 2; entry++) {
            HttpResponse response = call(entry, "POST", "/v1/jobs", JOB);
            assertEquals(response.status(), 200, response.body());
            assertEquals(json(response).path("answers").get(0).asText(), "done a");
            assertEquals(json(response).path("answers").get(1).asText(), "done b");
        }
    }

    @Test
    public void resubmissionThroughTheOtherEntryGetsTheSameAnswer() {
        String path = "/v1/jobs/" + newId();
        HttpResponse first = call(0, "PUT", path, JOB);
        HttpResponse second = call(1, "PUT", path, JOB);
        assertEquals(second, first);
        assertEquals(
                json(call(1, "GET", path + "?service=ledger", "")).path("outcome").asText(),
                "complete");
        HttpResponse changedJob = call(1, "PUT", path, JOB.replace("30 a", "30 c"));
        assertEquals(changedJob.status(), 422);
        assertEquals(json(changedJob).path("code").asText(), "id-reused");
    }

    @Test
    public void issuedIdsAreAccepted() {
        JsonNode ids = json(call(0, "POST", "/v1/ids?count=3&kind=availability", ""));
        assertEquals(ids.path("ids").size(), 3);
        String path = "/v1/jobs/" + ids.path("ids").get(0).asText();
        assertEquals(call(1, "PUT", path, JOB).status(), 200);
    }

    @Test
    public void jobCancelledThroughOtherEntryIsAnsweredAsCancelled() throws InterruptedException {
        String path = "/v1/jobs/" + newId();
        String longJob = JOB.replace("30 a", "5000 a");
        Thread cancel =
                Thread.ofVirtual()
                        .start(() -> {
                            sleepBeforeCancel();
                            call(1, "DELETE", path + "?service=ledger", "");
                        });
        HttpResponse response = call(0, "PUT", path, longJob);
        cancel.join();
        assertEquals(json(response).path("code").asText(), "cancelled", response.body());
    }

    private static void sleepBeforeCancel() {
        try {
            Thread.sleep(200);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @DataProvider
    public Object[][] invalidRequests() {
        // Longer than the maximum size of a body.
        String huge = "x".repeat(1_100_000);
        return new Object[][] {
            {"POST", "/v1/jobs", "{", 400, "body"},
            {"POST", "/v1/jobs", "[]", 400, "body"},
            {"POST", "/v1/jobs", "null", 400, "body"},
            {"POST", "/v1/jobs", JOB.replace("team", "taem"), 400, "taem: unknown field"},
            {"POST", "/v1/jobs", JOB.replace("fjordhorn", "nobody"), 400, "team: no team"},
            {"POST", "/v1/jobs", JOB.replace("availability", "x"), 400, "kind: no job kind"},
            {"POST", "/v1/jobs", JOB.replace("\"10 b\"", "null"), 400, "tasks.[1].payload"},
            {"POST", "/v1/jobs", JOB.replace("availability", "hire"), 400, "tasks: 2 are more"},
            {"POST", "/v1/jobs", JOB.replace("{\"team", "{\"deadline\": 5, \"team"), 400, "past"},
            {"POST", "/v1/jobs", JOB.replace("30 a", huge), 413, ""},
            {"PUT", "/v1/jobs/not-an-id", JOB, 400, "id: not a UUID"},
            {"PUT", "/v1/jobs/00000000-0000-4000-8000-000000000000", JOB, 400, "id: not"},
            // An id with a timestamp in the future, and one that has expired.
            {"PUT", "/v1/jobs/ff000000-0000-7000-8000-000000000000", JOB, 422, "id ff0"},
            {"PUT", "/v1/jobs/01000000-0000-7000-8000-000000000000", JOB, 502, "id 01"},
            {"POST", "/v1/ids?count=0", "", 400, "count"},
            {"GET", "/v1/jobs/01000000-0000-7000-8000-000000000000", "", 400, "service"},
            {"GET", "/admin/v1/status", "", 401, ""},
            {"PUT", "/admin/v1/configuration", "{}", 401, ""},
            {"POST", "/admin/v1/forget/x", "", 401, ""}
        };
    }

    @Test(dataProvider = "invalidRequests")
    public void invalidRequestIsRefusedWithCodeAndRemedy(
            String method, String path, String body, int status, String detail) {
        long startsBefore = mFleet.startCounts().size();
        HttpResponse response = call(0, method, path, body);
        assertEquals(response.status(), status, response.body());
        assertTrue(json(response).path("detail").asText().contains(detail), response.body());
        assertTrue(!json(response).path("code").asText().isEmpty(), response.body());
        assertTrue(!json(response).path("remedy").asText().isEmpty(), response.body());
        assertEquals(mFleet.startCounts().size(), startsBefore, "started tasks");
    }

    @Test
    public void invalidConfigurationIsRefusedWithFindings() {
        String body =
                "{\"baseRevision\": 1, \"publicationId\": \"x\", \"author\": \"a\", \"reason\":"
                        + " \"r\", \"set\": {\"services\": [{\"name\": \"A B\"}]}}";
        Map<String, String> token = Map.of("Authorization", "Bearer " + LocalFleet.ADMIN_TOKEN);
        HttpResponse response = call(0, "PUT", "/admin/v1/configuration", body, token);
        assertEquals(response.status(), 422);
        assertTrue(json(response).path("findings").size() >= 3, response.body());
    }

    @Test
    public void metricsAndHealthAreServed() {
        assertTrue(call(0, "GET", "/metrics", "").body().contains("jackdawsaddle_entry_"));
        assertEquals(call(0, "GET", "/health/ready", "").status(), 200);
        assertEquals(call(0, "GET", "/health/live", "").status(), 200);
    }
}
