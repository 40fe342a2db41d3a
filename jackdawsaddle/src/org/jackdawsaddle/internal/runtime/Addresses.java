package org.jackdawsaddle.internal.runtime;

import java.net.InetSocketAddress;
import org.jackdawsaddle.errors.SettingsInvalidException;

/** Parses addresses of the form host:port. */
public final class Addresses {

    private Addresses() {}

    /**
     * Parses an address. A host name is resolved; the result is unresolved if that fails.
     *
     * @param address the host name or IP address and the port, as host:port
     * @throws SettingsInvalidException if the address has another form
     */
    public static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            return new InetSocketAddress(address.substring(0, colon), port);
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new SettingsInvalidException("\"" + address + "\" is not of the form host:port.");
        }
    }
}
