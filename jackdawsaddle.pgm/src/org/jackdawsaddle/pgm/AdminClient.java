package org.jackdawsaddle.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.jackdawsaddle.config.ConfigurationHead;
import org.jackdawsaddle.errors.ErrorCode;
import org.jackdawsaddle.errors.JackdawException;
import org.jackdawsaddle.internal.dispatch.EntryStatus;
import org.jackdawsaddle.internal.http.HttpClient;
import org.jackdawsaddle.internal.http.HttpRequest;
import org.jackdawsaddle.internal.http.HttpResponse;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.runtime.UnixClock;
import picocli.CommandLine.Option;

/** Sends requests to the entry that the command line options name. */
final class AdminClient {
    private static final long CALL_TIMEOUT_MILLIS = 10_000;

    @Option(
            names = {"-e", "--entry"},
            paramLabel = "HOST:PORT",
            defaultValue = "127.0.0.1:8080",
            description = "Address of any entry. Default: ${DEFAULT-VALUE}.")
    private String mEntryAddress;

    @Option(
            names = "--token",
            defaultValue = "${env:JACKDAWSADDLE_TOKEN:-}",
            description = "The administration token. Default: $JACKDAWSADDLE_TOKEN.")
    private String mToken;

    private final UnixClock mClock = new UnixClock();

    /**
     * Returns the configuration in force at the entry, with its audit trail. It lags behind the
     * published one until the entry has read that from the store.
     */
    ConfigurationHead configuration() {
        String body = requireSuccess(send("GET", "/admin/v1/configuration", "")).body();
        return Json.read(body, ConfigurationHead.class);
    }

    /** Returns the status of the entry and of the other entries that respond to it. */
    List<EntryStatus> status() {
        String body = requireSuccess(send("GET", "/admin/v1/status", "")).body();
        return Arrays.asList(Json.read(body, EntryStatus[].class));
    }

    /**
     * Returns the response if its status is a success.
     *
     * @throws JackdawException otherwise, with the error code and the findings or detail of the
     *     response
     * @throws IllegalArgumentException if the body is not an error report of an entry
     */
    HttpResponse requireSuccess(HttpResponse response) {
        if (response.succeeded()) {
            return response;
        }
        JsonNode body = Json.read(response.body(), JsonNode.class);
        ErrorCode code = ErrorCode.of(body.path("code").asText());
        JsonNode findings = body.path("findings");
        String detail = findings.isMissingNode() ? body.path("detail").asText() : "" + findings;
        throw new JackdawException(code, detail);
    }

    /**
     * Sends a request with the administration token and returns the response.
     *
     * @param method the HTTP method
     * @param path the path, with a slash at the start
     * @throws JackdawException with {@link ErrorCode#OWNER_UNREACHABLE} if the entry cannot be
     *     reached or does not respond within 10 s; the request may have taken effect
     */
    HttpResponse send(String method, String path, String body) {
        HttpClient httpClient = new HttpClient(mClock, 1);
        httpClient.start();
        try {
            Map<String, String> headers = Map.of("Authorization", "Bearer " + mToken);
            long deadline = mClock.now() + CALL_TIMEOUT_MILLIS;
            return httpClient
                    .send(new HttpRequest(method, mEntryAddress, path, headers, body, deadline))
                    .join();
        } catch (CompletionException e) {
            String detail =
                    "the entry at "
                            + mEntryAddress
                            + " cannot be reached or does not respond (check --entry): "
                            + e.getCause().getMessage();
            throw new JackdawException(ErrorCode.OWNER_UNREACHABLE, detail);
        } finally {
            httpClient.stop();
        }
    }
}
