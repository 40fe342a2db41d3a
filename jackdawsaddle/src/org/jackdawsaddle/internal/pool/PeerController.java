package org.jackdawsaddle.internal.pool;

import java.util.HashMap;
import java.util.Map;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.pool.PoolConfiguration;

/**
 * Exchanges heartbeats with the other entries, and puts in force the newest configuration that any
 * process has sent. Sends it on to other entries and to sidecars, so that it also reaches processes
 * that cannot read the store.
 */
final class PeerController {
    /** The connection to one other entry. */
    private static final class PeerView {
        long mLastHeardAt;
        long mLastSentAt;
    }

    private final PoolEntryState mState;
    private final Map<NodeId, PeerView> mPeers = new HashMap<>();

    PeerController(PoolEntryState state) {
        mState = state;
    }

    /**
     * Puts a configuration in force and sends it on, unless its version is not higher than that in
     * force.
     *
     * @param source where it comes from, for the log
     */
    void onConfiguration(PoolConfiguration configuration, String source) {
        if (configuration.version() <= mState.mConfiguration.version()) {
            return;
        }
        EventLog.line(Event.CONFIGURATION_APPLIED)
                .with("version", configuration.version())
                .with("before", mState.mConfiguration.version())
                .with("queues", configuration.queues().size())
                .with("source", source)
                .write();
        mState.count(PoolEntryCounter.CONFIGURATIONS_APPLIED);
        mState.mConfiguration = configuration;
        mPeers.keySet().forEach(this::ping);
        mState.mSidecars.values().forEach(this::pushConfiguration);
    }

    /**
     * Sends the configuration to a sidecar that has announced an older one. The sidecar passes it
     * on to entries that start while the store is unavailable.
     */
    void pushConfiguration(SidecarView sidecar) {
        if (sidecar.mHello.configurationVersion() < mState.mConfiguration.version()) {
            mState.send(sidecar, configurationPush());
        }
    }

    void onConnected(NodeId peer) {
        PeerView view = new PeerView();
        view.mLastHeardAt = mState.mNow;
        mPeers.put(peer, view);
        mState.mPeerCount = mPeers.size();
        ping(peer);
    }

    void onLost(NodeId peer) {
        mPeers.remove(peer);
        mState.mPeerCount = mPeers.size();
    }

    /**
     * Handles a message on the connection that this entry opened. Only such a message counts as a
     * heartbeat of the peer, as it proves that the connection works.
     */
    void onAnswered(NodeId peer, PoolMessage message) {
        PeerView view = mPeers.get(peer);
        if (view != null) {
            view.mLastHeardAt = mState.mNow;
        }
        onReceived(peer, message);
    }

    /** Handles a message from another entry on either connection. */
    void onReceived(NodeId peer, PoolMessage message) {
        switch (message) {
            case PoolMessage.Ping ping ->
                    pushConfigurationIfOlder(peer, ping.configurationVersion());
            case PoolMessage.PeerHello hello ->
                    pushConfigurationIfOlder(peer, hello.configurationVersion());
            case PoolMessage.ConfigurationPush push ->
                    onConfiguration(
                            Json.read(push.text(), PoolConfiguration.class), peer.toString());
            default ->
                    throw new IllegalArgumentException(
                            "Unexpected message from an entry: " + message);
        }
    }

    private void pushConfigurationIfOlder(NodeId peer, long version) {
        if (version < mState.mConfiguration.version()) {
            send(peer, configurationPush());
        }
    }

    void onTick() {
        mPeers.forEach((peer, view) -> {
            if (mState.mNow - view.mLastHeardAt > PoolTiming.CONNECTION_TIMEOUT_MILLIS) {
                view.mLastHeardAt = mState.mNow;
                mState.mActions.add(new PoolEntryAction.DisconnectPeer(peer));
            }
            if (mState.mNow - view.mLastSentAt >= PoolTiming.HEARTBEAT_INTERVAL_MILLIS) {
                ping(peer);
            }
        });
    }

    private PoolMessage configurationPush() {
        return new PoolMessage.ConfigurationPush(
                mState.mConfiguration.version(), Json.write(mState.mConfiguration));
    }

    private void ping(NodeId peer) {
        send(peer, new PoolMessage.Ping(mState.mConfiguration.version()));
    }

    private void send(NodeId peer, PoolMessage message) {
        PeerView view = mPeers.get(peer);
        if (view != null) {
            view.mLastSentAt = mState.mNow;
            mState.mActions.add(new PoolEntryAction.SendToPeer(peer, message));
        }
    }
}
