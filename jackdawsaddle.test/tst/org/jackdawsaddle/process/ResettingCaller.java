package org.jackdawsaddle.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.jackdawsaddle.internal.http.HttpRequest;
import org.jackdawsaddle.internal.runtime.Addresses;

/** A caller that sends a request and resets its connection while it waits for the response. */
final class ResettingCaller {
    private final Socket mSocket = new Socket();

    /** Connects and sends the request. */
    void send(HttpRequest request) {
        byte[] body = request.body().getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder();
        head.append(request.method()).append(' ').append(request.path()).append(" HTTP/1.1\r\n");
        request.headers()
                .forEach((name, value) ->
                        head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Type: application/json\r\n");
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        try {
            mSocket.connect(Addresses.parse(request.address()));
            mSocket.getOutputStream().write(head.toString().getBytes(StandardCharsets.UTF_8));
            mSocket.getOutputStream().write(body);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Resets the connection. */
    void reset() {
        try {
            mSocket.setSoLinger(true, 0);
            mSocket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
