package org.jackdawsaddle.internal.http;

import java.util.Map;

/**
 * An HTTP request.
 *
 * @param method GET, PUT, POST or DELETE
 * @param address the server, as host:port
 * @param path the encoded path, including the query string
 * @param headers headers besides Host and Content-Length, which the client sets
 * @param body the body, or an empty string for none
 * @param deadline the time in milliseconds since the epoch at which the request times out; a past
 *     deadline counts as 1 ms from now
 */
public record HttpRequest(
        String method,
        String address,
        String path,
        Map<String, String> headers,
        String body,
        long deadline) {

    /** Creates a request without additional headers. */
    public HttpRequest(String method, String address, String path, String body, long deadline) {
        this(method, address, path, Map.of(), body, deadline);
    }
}
