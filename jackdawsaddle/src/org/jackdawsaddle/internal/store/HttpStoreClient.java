package org.jackdawsaddle.internal.store;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jackdawsaddle.errors.StoreUnavailableException;
import org.jackdawsaddle.internal.http.HttpClient;
import org.jackdawsaddle.internal.http.HttpRequest;
import org.jackdawsaddle.internal.http.HttpResponse;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.store.StoreClient;
import org.jackdawsaddle.store.StoreValue;

/** A client of the platform's store over HTTP. */
public final class HttpStoreClient implements StoreClient {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final long CALL_TIMEOUT_MILLIS = 2_000;
    private static final long WATCH_TIMEOUT_MARGIN_MILLIS = 2_000;

    @JsonIgnoreProperties(ignoreUnknown = true)
    private record Written(long version) {}

    private record ChangeList(long position, List<StoreValue> values) {}

    private final HttpClient mHttpClient;
    private final String mAddress;
    private final UnixClock mClock;

    /**
     * Creates a client of one store.
     *
     * @param httpClient the client for the requests, started and stopped by the caller
     * @param address the address of the store, as host:port
     */
    public HttpStoreClient(HttpClient httpClient, String address, UnixClock clock) {
        mHttpClient = httpClient;
        mAddress = address;
        mClock = clock;
    }

    @Override
    public CompletableFuture<StoreValue> read(String key) {
        return call("GET", "/v1/values/" + key, "", CALL_TIMEOUT_MILLIS)
                .thenApply(response ->
                        switch (response.status()) {
                            case OK -> Json.read(response.body(), StoreValue.class);
                            case NOT_FOUND -> new StoreValue(key, 0, "");
                            default -> throw unavailable(response);
                        });
    }

    @Override
    public CompletableFuture<Optional<Long>> compareAndSet(
            String key, long expectedVersion, String value, Optional<Long> leaseMillis) {
        String lease = leaseMillis.map(millis -> "&leaseMillis=" + millis).orElse("");
        String path = "/v1/values/" + key + "?version=" + expectedVersion + lease;
        return call("PUT", path, value, CALL_TIMEOUT_MILLIS)
                .thenApply(response ->
                        switch (response.status()) {
                            case OK ->
                                    Optional.of(
                                            Json.read(response.body(), Written.class).version());
                            case CONFLICT -> Optional.empty();
                            default -> throw unavailable(response);
                        });
    }

    @Override
    public CompletableFuture<Changes> watch(String prefix, long position, long waitMillis) {
        String path =
                "/v1/changes?prefix="
                        + prefix
                        + "&position="
                        + position
                        + "&waitMillis="
                        + waitMillis;
        return call("GET", path, "", waitMillis + WATCH_TIMEOUT_MARGIN_MILLIS)
                .thenApply(response -> {
                    if (response.status() != OK) {
                        throw unavailable(response);
                    }
                    ChangeList list = Json.read(response.body(), ChangeList.class);
                    return new Changes(list.position(), list.values());
                });
    }

    private CompletableFuture<HttpResponse> call(
            String method, String path, String body, long timeoutMillis) {
        long deadline = mClock.now() + timeoutMillis;
        return mHttpClient
                .send(new HttpRequest(method, mAddress, path, body, deadline))
                .exceptionally(cause -> {
                    throw new StoreUnavailableException(
                            method + " " + path + ": " + cause.getMessage());
                });
    }

    private static StoreUnavailableException unavailable(HttpResponse response) {
        return new StoreUnavailableException("The store answered with status " + response.status());
    }
}
