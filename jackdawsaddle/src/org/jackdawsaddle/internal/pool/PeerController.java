package org.jackdawsaddle.internal.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.pool.PoolConfiguration;

/**
 * Exchanges pings with the other entries as heartbeats, and keeps the configuration with the
 * highest version in force, whether it comes from the store, another entry or a sidecar. Sends it
 * to entries and sidecars that have an older one, so that it also reaches processes that cannot
 * read the store.
 *
 * <p>Two entries have two connections, one opened by each. An entry sends its messages on the one
 * that it has opened; on the other, {@code PoolAcceptor} answers with pings.
 */
final class PeerController {
    /** The connection that this entry has opened to one other entry. */
    private static final class PeerView {
        /** When a message last arrived on this connection, in milliseconds since the epoch. */
        long mLastHeardAt;

        /** When a message was last sent on it, in milliseconds since the epoch. */
        long mLastSentAt;

        /** Until when the peer must answer soon, in milliseconds since the epoch. */
        long mAnswersExpectedUntil;

        boolean answersExpected(long now) {
            return now < mAnswersExpectedUntil;
        }
    }

    private final PoolEntryState mState;
    private final Map<NodeId, PeerView> mPeers = new HashMap<>();

    /** The message that sends the configuration in force. */
    private PoolMessage.ConfigurationPush mPush = new PoolMessage.ConfigurationPush(0, "");

    PeerController(PoolEntryState state) {
        mState = state;
    }

    /**
     * Puts a configuration in force if its version is higher than that in force, and pings the
     * other entries: each answers with its version, and is sent the configuration if that is older.
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
        mPush =
                new PoolMessage.ConfigurationPush(
                        configuration.version(), Json.write(configuration));
        mPeers.keySet().forEach(this::ping);
    }

    /**
     * Sends the configuration to the preferred sidecars that have an older one. They pass it on to
     * entries that start while the store is unavailable. The others get it from the entries that
     * prefer them.
     */
    void pushConfigurationToSidecars() {
        for (SidecarView sidecar : mState.mPreferredSidecars) {
            if (sidecar.mConnected && sidecar.mConfigurationVersion < mPush.version()) {
                sidecar.mConfigurationVersion = mPush.version();
                mState.send(sidecar, mPush);
            }
        }
    }

    void onConnected(NodeId peer) {
        PeerView view = new PeerView();
        view.mLastHeardAt = mState.mNow;
        mPeers.put(peer, view);
        onPeersChanged();
        ping(peer);
    }

    private void onPeersChanged() {
        mState.mPeerNames = mPeers.keySet().stream().map(NodeId::name).collect(Collectors.toSet());
        mState.mMembersVersion++;
    }

    void onLost(NodeId peer) {
        mPeers.remove(peer);
        onPeersChanged();
    }

    /**
     * Handles a message on the connection that this entry opened. Only such a message counts as a
     * heartbeat of the peer, as it proves that this connection works.
     */
    void onAnswered(NodeId peer, PoolMessage message) {
        PeerView view = mPeers.get(peer);
        if (view != null) {
            view.mLastHeardAt = mState.mNow;
        }
        onReceived(peer, message);
    }

    /** Handles a message from another entry on either of the two connections. */
    void onReceived(NodeId peer, PoolMessage message) {
        switch (message) {
            case PoolMessage.Ping ping ->
                    pushConfigurationIfOlder(peer, ping.configurationVersion());
            case PoolMessage.PeerHello hello ->
                    pushConfigurationIfOlder(peer, hello.configurationVersion());
            case PoolMessage.ConfigurationPush push ->
                    onConfiguration(
                            Json.read(push.text(), PoolConfiguration.class), peer.toString());
            default -> {
                // Other controllers handle it.
            }
        }
    }

    private void pushConfigurationIfOlder(NodeId peer, long version) {
        if (version < mState.mConfiguration.version()) {
            send(peer, mPush);
        }
    }

    void onTick() {
        discountOwnPause();
        mPeers.forEach((peer, view) -> {
            if (mState.mNow - view.mLastHeardAt > timeoutMillis(view)) {
                // Restarts the timeout, so that not every tick requests a disconnection.
                view.mLastHeardAt = mState.mNow;
                mState.mActions.add(new PoolEntryAction.DisconnectPeer(peer));
            }
            if (mState.mNow - view.mLastSentAt >= heartbeatIntervalMillis(view)) {
                ping(peer);
            }
        });
    }

    /** Excludes a pause of this process from the silence of peers: messages may wait unread. */
    private void discountOwnPause() {
        long lateMillis = mState.mNow - mState.mNextTickAt;
        if (mState.mNextTickAt > 0 && lateMillis > PoolTiming.PAUSE_THRESHOLD_MILLIS) {
            mPeers.values()
                    .forEach(view ->
                            view.mLastHeardAt =
                                    Math.min(mState.mNow, view.mLastHeardAt + lateMillis));
        }
    }

    private long timeoutMillis(PeerView view) {
        return view.answersExpected(mState.mNow)
                ? PoolTiming.HAND_OVER_TIMEOUT_MILLIS
                : PoolTiming.PEER_TIMEOUT_MILLIS;
    }

    private long heartbeatIntervalMillis(PeerView view) {
        return view.answersExpected(mState.mNow)
                ? PoolTiming.HEARTBEAT_INTERVAL_MILLIS
                : PoolTiming.PEER_HEARTBEAT_INTERVAL_MILLIS;
    }

    /**
     * Makes heartbeats to an entry as frequent as those to sidecars for a while, and its silence
     * noticed as soon, counted from now at the earliest.
     */
    void expectAnswers(NodeId peer) {
        PeerView view = mPeers.get(peer);
        if (view == null) {
            return;
        }
        if (!view.answersExpected(mState.mNow)) {
            view.mLastHeardAt = mState.mNow;
        }
        view.mAnswersExpectedUntil = mState.mNow + PoolTiming.PEER_HEARTBEAT_INTERVAL_MILLIS;
    }

    private void ping(NodeId peer) {
        send(peer, mState.peerHeartbeat());
    }

    /** Sends a message to every other entry that is connected. */
    void sendToAll(PoolMessage message) {
        mPeers.keySet().forEach(peer -> send(peer, message));
    }

    /** Sends a message to another entry; drops it if that is not connected. */
    void send(NodeId peer, PoolMessage message) {
        PeerView view = mPeers.get(peer);
        if (view != null) {
            view.mLastSentAt = mState.mNow;
            mState.mActions.add(new PoolEntryAction.SendToPeer(peer, message));
        }
    }
}
