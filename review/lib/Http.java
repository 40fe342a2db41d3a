import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP for the stand-ins: a server with a handler for each request, and a client channel. */
final class Http {
    record Reply(int status, String body) {}

    interface Handler {
        Reply handle(HttpExchange exchange, String body) throws Exception;
    }

    private Http() {}

    static InetSocketAddress address(String hostAndPort) {
        int colon = hostAndPort.lastIndexOf(':');
        return new InetSocketAddress(
                hostAndPort.substring(0, colon), Integer.parseInt(hostAndPort.substring(colon + 1)));
    }

    static HttpServer serve(String hostAndPort, Handler handler) throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        HttpServer server = HttpServer.create(address(hostAndPort), 256);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", exchange -> {
            String body =
                    new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Reply reply;
            try {
                reply = handler.handle(exchange, body);
            } catch (Exception e) {
                e.printStackTrace();
                reply = new Reply(500, "{}");
            }
            byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(reply.status(), bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        });
        server.start();
        return server;
    }

    /** A client's channel, which carries one request. */
    static final class Channel implements AutoCloseable {
        private final Socket mSocket = new Socket();

        Channel(String hostAndPort) throws IOException {
            mSocket.setTcpNoDelay(true);
            mSocket.connect(address(hostAndPort), 1_000);
        }

        /** Sends a request and waits for its response. */
        Reply call(
                String method,
                String host,
                String path,
                String body,
                Map<String, String> headers,
                int timeoutMillis)
                throws IOException {
            mSocket.setSoTimeout(timeoutMillis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder();
            head.append(method).append(' ').append(path).append(" HTTP/1.1\r\n");
            head.append("Host: ").append(host).append("\r\n");
            if (bytes.length > 0) {
                head.append("Content-Type: application/json\r\n");
            }
            head.append("Content-Length: ").append(bytes.length).append("\r\n");
            headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
            head.append("\r\n");
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.US_ASCII));
            out.write(bytes);
            mSocket.getOutputStream().write(out.toByteArray());
            return readReply();
        }

        private Reply readReply() throws IOException {
            InputStream in = mSocket.getInputStream();
            int status = Integer.parseInt(readLine(in).split(" ")[1]);
            int length = 0;
            for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                if (line.toLowerCase().startsWith("content-length:")) {
                    length = Integer.parseInt(line.substring(15).trim());
                }
            }
            return new Reply(status, new String(in.readNBytes(length), StandardCharsets.UTF_8));
        }

        private static String readLine(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    throw new EOFException("channel closed");
                }
                if (c != '\r') {
                    line.append((char) c);
                }
            }
            return line.toString();
        }

        /** Resets the channel, as the network may do. */
        void reset() throws IOException {
            mSocket.setSoLinger(true, 0);
            mSocket.close();
        }

        @Override
        public void close() throws IOException {
            mSocket.close();
        }
    }
}
