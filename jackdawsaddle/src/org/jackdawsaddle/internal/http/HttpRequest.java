package org.jackdawsaddle.internal.http;

import java.util.Map;

/**
 * An HTTP call.
 *
 * @param method GET, PUT, POST or DELETE
 * @param address the server, as host:port
 * @param path the path with the query
 * @param headers further headers
 * @param body the body, empty for none
 * @param deadline when to give up, in milliseconds since the epoch
 */
public record HttpRequest(
        String method,
        String address,
        String path,
        Map<String, String> headers,
        String body,
        long deadline) {

    /** Creates a call without further headers. */
    public HttpRequest(String method, String address, String path, String body, long deadline) {
        this(method, address, path, Map.of(), body, deadline);
    }
}
