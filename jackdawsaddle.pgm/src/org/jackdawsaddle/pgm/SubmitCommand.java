package org.jackdawsaddle.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.jackdawsaddle.internal.http.HttpResponse;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.job.TaskRequest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Submits a job and prints its answer. */
@Command(
        name = "submit",
        mixinStandardHelpOptions = true,
        description = "Submits a job with one task per payload and prints its answer.")
final class SubmitCommand extends AdminCommand {
    /** The request body of a job submission. */
    private record Body(String team, String kind, long timeoutMillis, List<TaskRequest> tasks) {}

    @Option(names = "--team", required = true, description = "Team that submits the job.")
    private String mTeam;

    @Option(names = "--kind", required = true, description = "Job kind.")
    private String mKind;

    @Option(
            names = "--id",
            description = "Id of the job, a UUID of version 7. Default: issued by the entry.")
    private String mId;

    @Option(
            names = "--timeout-millis",
            description = "Timeout of the job in milliseconds. Default: that of the kind.")
    private long mTimeoutMillis;

    @Parameters(arity = "1..*", paramLabel = "PAYLOAD", description = "Payloads, one per task.")
    private List<String> mPayloads;

    @Override
    public Integer call() {
        List<TaskRequest> tasks = new ArrayList<>();
        mPayloads.forEach(payload -> tasks.add(new TaskRequest(payload, 0)));
        String body = Json.write(new Body(mTeam, mKind, mTimeoutMillis, tasks));
        HttpResponse response =
                mId == null
                        ? client().send("POST", "/v1/jobs", body)
                        : client().send("PUT", "/v1/jobs/" + mId, body);
        JsonNode json = Json.read(response.body(), JsonNode.class);
        List<String> lines = new ArrayList<>();
        lines.add(json.path("outcome").asText() + " " + json.path("id").asText());
        json.path("answers").forEach(text -> lines.add(text.asText()));
        if (!response.succeeded()) {
            lines.add(json.path("code").asText() + ": " + json.path("detail").asText());
            lines.add("Remedy: " + json.path("remedy").asText());
        }
        print(json, lines);
        return response.succeeded() ? Main.OK : Main.NEGATIVE_RESULT;
    }
}
