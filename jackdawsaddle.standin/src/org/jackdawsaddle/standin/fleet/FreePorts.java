package org.jackdawsaddle.standin.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free ports on the loopback address, below the range of ephemeral ports. The search starts
 * at a port that depends on the process id, so that concurrent processes rarely try the same ports.
 */
public final class FreePorts {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int FIRST_PORT = 10_000;
    private static final int LAST_PORT = 32_000;
    private static final int PID_STRIDE = 331;
    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger(
                    (int) (ProcessHandle.current().pid() * PID_STRIDE % (LAST_PORT - FIRST_PORT)));

    private FreePorts() {}

    /**
     * Returns addresses as host:port whose ports are free now. A port is returned again only after
     * all others have been tried.
     *
     * @param count the number of addresses
     */
    public static List<String> addresses(int count) {
        List<String> addresses = new ArrayList<>();
        while (addresses.size() < count) {
            int port =
                    FIRST_PORT
                            + Math.floorMod(NEXT_OFFSET.getAndIncrement(), LAST_PORT - FIRST_PORT);
            if (isFree(port)) {
                addresses.add(LOOPBACK + ":" + port);
            }
        }
        return addresses;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
