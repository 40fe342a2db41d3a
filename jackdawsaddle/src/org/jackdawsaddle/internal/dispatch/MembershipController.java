package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PeerMessage.Heartbeat;
import org.jackdawsaddle.internal.message.PeerMessage.PeerHello;

/** Keeps this entry's record in the store and detects which peers are alive. */
final class MembershipController {
    /** A gap between two ticks above which this process counts as paused. */
    private static final long PROCESS_PAUSE_MILLIS = 1_000;

    private static final long LEAVING_LEASE_MILLIS = 1;

    private final EntryState mState;

    /** The version of this entry's record in the store, 0 for none. */
    private long mRecordVersion;

    private long mNextRenewalAt;
    private long mNextHeartbeatAt;
    private long mLastTickAt;

    MembershipController(EntryState state) {
        mState = state;
    }

    void onTick() {
        resetTimeoutsAfterPause();
        if (mState.mNow >= mNextRenewalAt) {
            mNextRenewalAt = mState.mNow + Timing.MEMBERSHIP_RENEWAL_MILLIS;
            writeOwnRecord(Timing.MEMBERSHIP_LEASE_MILLIS);
        }
        if (mState.mNow >= mNextHeartbeatAt) {
            mNextHeartbeatAt = mState.mNow + Timing.PEER_HEARTBEAT_MILLIS;
            mState.mPeers.forEach(this::sendHeartbeat);
        }
    }

    /**
     * Handles the record of an entry that the store has delivered: connects to a new peer,
     * disconnects from other incarnations of it, and writes this entry's own record again if it has
     * expired or is that of another incarnation, unless this entry is leaving.
     *
     * @param name the name of the entry
     * @param version the version of the record, 0 if there is none
     * @param record the record, or empty if it has expired
     */
    void onEntryRecord(String name, long version, Optional<EntryRecord> record) {
        if (name.equals(mState.self().name())) {
            mRecordVersion = version;
            boolean foreign = record.isPresent() && !record.get().node().equals(mState.self());
            if ((record.isEmpty() || foreign) && !mState.mLeaving) {
                mNextRenewalAt = mState.mNow;
            }
            return;
        }
        if (record.isEmpty()) {
            mState.mEntryRecords.remove(name);
            forgetUnconnected(name);
            return;
        }
        mState.mEntryRecords.put(name, new Versioned<>(version, record.get()));
        dropOtherIncarnations(record.get().node());
        NodeId node = record.get().node();
        if (!mState.mPeers.containsKey(node)) {
            String address = record.get().peerAddress();
            mState.mPeers.put(node, new PeerView(address, mState.mNow));
            mState.mOutbox.connect(node, address);
        }
    }

    /**
     * Handles the answer of the store to a write of this entry's record.
     *
     * @param version the new version, or empty if the write was rejected
     */
    void onOwnRecordWritten(Optional<Long> version) {
        if (version.isPresent()) {
            mRecordVersion = version.get();
        } else {
            mState.mOutbox.read(StoreKeys.entry(mState.self().name()));
        }
    }

    void onPeerConnected(NodeId node) {
        PeerView peer = mState.mPeers.get(node);
        if (peer != null) {
            peer.mConnected = true;
            peer.mEverConnected = true;
            mState.mOutbox.sendToPeer(node, new PeerHello(mState.self(), mState.mHead.revision()));
        }
    }

    /**
     * Handles the loss of the connection to a peer: starts the timeout, or forgets the peer if the
     * store has no record of this incarnation.
     */
    void onPeerLost(NodeId node) {
        PeerView peer = mState.mPeers.get(node);
        if (peer == null) {
            return;
        }
        if (peer.mConnected) {
            peer.mTimeoutStartedAt = mState.mNow;
        }
        peer.mConnected = false;
        boolean recorded =
                Optional.ofNullable(mState.mEntryRecords.get(node.name()))
                        .filter(entry -> entry.value().node().equals(node))
                        .isPresent();
        if (!recorded) {
            forget(node);
        }
    }

    /** Restarts the timeout of a peer that has sent a message. */
    void onHeard(NodeId node) {
        Optional.ofNullable(mState.mPeers.get(node))
                .ifPresent(peer -> peer.mTimeoutStartedAt = mState.mNow);
    }

    /**
     * Lets this entry's record expire at once, by a lease of {@link #LEAVING_LEASE_MILLIS}, so that
     * peers need not wait for the full lease.
     */
    void leave() {
        mNextRenewalAt = Long.MAX_VALUE;
        writeOwnRecord(LEAVING_LEASE_MILLIS);
    }

    /** Returns whether the entry is this one or a peer that has not timed out. */
    boolean alive(NodeId node) {
        if (node.equals(mState.self())) {
            return true;
        }
        PeerView peer = mState.mPeers.get(node);
        return peer != null && !peer.timedOut(mState.mNow);
    }

    /**
     * Returns the names of the entries that can own partitions: this one and the peers that are
     * connected, alive and recorded in the store.
     */
    List<String> candidates() {
        return Stream.concat(
                        Stream.of(mState.self()),
                        mState.mPeers.entrySet().stream()
                                .filter(peer -> peer.getValue().mConnected)
                                .map(Map.Entry::getKey)
                                .filter(node -> mState.mEntryRecords.containsKey(node.name()))
                                .filter(this::alive))
                .map(NodeId::name)
                .distinct()
                .toList();
    }

    /**
     * Restarts the timeouts of all peers if this process was paused: missing heartbeats prove
     * nothing then.
     */
    private void resetTimeoutsAfterPause() {
        if (mState.mNow - mLastTickAt > PROCESS_PAUSE_MILLIS) {
            mState.mPeers.values().forEach(peer -> peer.mTimeoutStartedAt = mState.mNow);
        }
        mLastTickAt = mState.mNow;
    }

    private void writeOwnRecord(long leaseMillis) {
        mState.mOutbox.write(
                StoreKeys.entry(mState.self().name()),
                mRecordVersion,
                mState.mSelf,
                Optional.of(leaseMillis));
    }

    private void sendHeartbeat(NodeId node, PeerView peer) {
        if (peer.mConnected) {
            mState.mOutbox.sendToPeer(node, new Heartbeat(mState.mHead.revision()));
        }
    }

    /** Stops connecting to the peers of a name that has no record any more. */
    private void forgetUnconnected(String name) {
        mState.mPeers.entrySet().stream()
                .filter(peer -> peer.getKey().name().equals(name))
                .filter(peer -> !peer.getValue().mConnected)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::forget);
    }

    private void dropOtherIncarnations(NodeId node) {
        mState.mPeers.keySet().stream()
                .filter(node::isOtherIncarnationOf)
                .toList()
                .forEach(this::forget);
    }

    private void forget(NodeId peer) {
        mState.mPeers.remove(peer);
        mState.mOutbox.disconnect(peer);
    }
}
