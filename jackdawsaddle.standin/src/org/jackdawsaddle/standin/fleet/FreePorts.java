package org.jackdawsaddle.standin.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds ports of the loopback address that nothing listens on. */
public final class FreePorts {
    private static final String LOOPBACK = "127.0.0.1";

    private FreePorts() {}

    /** Returns distinct addresses of the form host:port. */
    public static List<String> addresses(int count) {
        List<ServerSocket> sockets = new ArrayList<>();
        List<String> addresses = new ArrayList<>();
        try {
            for (int index = 0; index < count; index++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK));
                sockets.add(socket);
                addresses.add(LOOPBACK + ":" + socket.getLocalPort());
            }
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return addresses;
    }
}
