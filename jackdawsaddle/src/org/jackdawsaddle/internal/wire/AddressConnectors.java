package org.jackdawsaddle.internal.wire;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.jackdawsaddle.internal.runtime.Addresses;

/**
 * Maintains one connection to each of a set of addresses. Addresses are added and never removed.
 * Not thread-safe.
 */
public final class AddressConnectors {
    private final WireThreads mThreads;
    private final Supplier<WireListener> mListenerFactory;
    private final MessageCounts mCounts;
    private final Map<String, WireConnector> mConnectors = new LinkedHashMap<>();

    /**
     * Creates an empty set.
     *
     * @param listenerFactory creates the listener of each address
     */
    public AddressConnectors(
            WireThreads threads, Supplier<WireListener> listenerFactory, MessageCounts counts) {
        mThreads = threads;
        mListenerFactory = listenerFactory;
        mCounts = counts;
    }

    /**
     * Adds an address: connects to it, and reconnects whenever the connection closes.
     *
     * @param address the address, as host:port
     * @return whether the address was not in the set
     * @throws org.jackdawsaddle.errors.SettingsInvalidException if the address has another form
     */
    public boolean connect(String address) {
        if (mConnectors.containsKey(address)) {
            return false;
        }
        WireConnector connector =
                new WireConnector(
                        mThreads, Addresses.parse(address), mListenerFactory.get(), mCounts);
        mConnectors.put(address, connector);
        connector.start();
        return true;
    }

    /** Closes all connections without reconnecting. */
    public void stop() {
        mConnectors.values().forEach(WireConnector::stop);
    }
}
