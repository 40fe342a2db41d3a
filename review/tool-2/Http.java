import com.sun.net.httpserver.HttpExchange;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** The little HTTP that the stand-ins need. */
final class Http {
    /** A status of 0 means that no complete response arrived. */
    record Response(int status, String body) {}

    private Http() {}

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        String query = exchange.getRequestURI().getRawQuery();
        for (String pair : query == null ? new String[0] : query.split("&")) {
            int at = pair.indexOf('=');
            values.put(
                    pair.substring(0, at),
                    URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
        }
        return values;
    }

    static String body(HttpExchange exchange) throws IOException {
        return new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    }

    static void send(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    /** Sends one request on a new connection and waits for its response. */
    static Response call(
            String address, String method, String path, String host, String body, int waitMillis) {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))),
                    waitMillis);
            socket.setSoTimeout(waitMillis);
            String request = request(method, path, host, body, waitMillis);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            return new Response(0, e.toString());
        }
    }

    /** Returns the text of a request. */
    static String request(String method, String path, String host, String body, int waitMillis) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + host
                + "\r\nContent-Type: application/json\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length
                + "\r\nX-Jackdawsaddle-Deadline-Ms: " + waitMillis + "\r\n\r\n" + body;
    }

    /** Reads one response. */
    static Response read(InputStream in) throws IOException {
        String status = line(in);
        int length = 0;
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            if (header.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(header.substring(15).trim());
            }
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the body is not complete");
        }
        return new Response(
                Integer.parseInt(status.split(" ")[1]), new String(body, StandardCharsets.UTF_8));
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("the channel ended without a complete answer");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}
