package review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP for the stand-ins: servers with a thread for each request, and a client. */
final class Http {
    /** A response; the status is 0 if there was none. */
    record Response(int status, String body) {
        static final Response NONE = new Response(0, "");
    }

    private Http() {}

    static HttpServer serve(String address, HttpHandler handler) throws IOException {
        HttpServer server = HttpServer.create(parse(address), 256);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", exchange -> {
            try (exchange) {
                handler.handle(exchange);
            }
        });
        server.start();
        return server;
    }

    static void reply(HttpExchange exchange, int status, Object body) throws IOException {
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** Sends a request on a connection of its own and waits for the response. */
    static Response send(
            String address,
            String method,
            String path,
            Map<String, String> headers,
            String body,
            int timeoutMillis) {
        try (Socket socket = open(address, timeoutMillis)) {
            write(socket, method, path, headers, body);
            return read(socket.getInputStream());
        } catch (IOException e) {
            return Response.NONE;
        }
    }

    static Socket open(String address, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(parse(address), timeoutMillis);
        socket.setSoTimeout(timeoutMillis);
        return socket;
    }

    static void write(
            Socket socket, String method, String path, Map<String, String> headers, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Type: application/json\r\n");
        head.append("Content-Length: " + bytes.length + "\r\n\r\n");
        OutputStream out = socket.getOutputStream();
        out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.flush();
    }

    static Response read(InputStream in) throws IOException {
        String status = line(in);
        if (status.isEmpty()) {
            return Response.NONE;
        }
        int length = 0;
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            if (header.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(header.substring(header.indexOf(':') + 1).trim());
            }
        }
        byte[] body = in.readNBytes(length);
        return new Response(
                Integer.parseInt(status.split(" ")[1]), new String(body, StandardCharsets.UTF_8));
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}
