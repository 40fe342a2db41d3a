package org.jackdawsaddle.internal.wire;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.jackdawsaddle.internal.runtime.Addresses;

/** Keeps one connection open to each address that a process learns of. Not thread-safe. */
public final class AddressConnectors {
    private final WireThreads mThreads;
    private final Supplier<WireListener> mListenerFactory;
    private final MessageCounts mCounts;
    private final Map<String, WireConnector> mConnectors = new LinkedHashMap<>();

    /**
     * Creates connectors to nowhere.
     *
     * @param listenerFactory makes the listener of each connection
     */
    public AddressConnectors(
            WireThreads threads, Supplier<WireListener> listenerFactory, MessageCounts counts) {
        mThreads = threads;
        mListenerFactory = listenerFactory;
        mCounts = counts;
    }

    /**
     * Keeps a connection open to an address from now on.
     *
     * @param address as host:port
     * @return whether the address was not known before
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

    /** Closes all connections for good. */
    public void stop() {
        mConnectors.values().forEach(WireConnector::stop);
    }
}
