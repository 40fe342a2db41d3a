package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PeerMessage.Heartbeat;
import org.jackdawsaddle.internal.message.PeerMessage.PeerHello;

/** Keeps this entry's record in the store and watches which peers are alive. */
final class MembershipController {
    private static final long PAUSE_MILLIS = 1_000;
    private static final long LEAVING_LEASE_MILLIS = 1;

    private final EntryBoard mBoard;
    private long mRecordVersion;
    private long mRenewAt;
    private long mHeartbeatAt;
    private long mLastTick;

    MembershipController(EntryBoard board) {
        mBoard = board;
    }

    void onTick() {
        forgivePause();
        if (mBoard.mNow >= mRenewAt) {
            mRenewAt = mBoard.mNow + Timing.MEMBERSHIP_RENEWAL_MILLIS;
            write(Timing.MEMBERSHIP_LEASE_MILLIS);
        }
        if (mBoard.mNow >= mHeartbeatAt) {
            mHeartbeatAt = mBoard.mNow + Timing.PEER_HEARTBEAT_MILLIS;
            mBoard.mPeers.forEach(this::beat);
        }
    }

    /** Takes the store's word on an entry's record; a record without a value has expired. */
    void onEntryRecord(String name, long version, Optional<EntryRecord> record) {
        if (name.equals(mBoard.self().name())) {
            mRecordVersion = version;
            boolean foreign = record.isPresent() && !record.get().node().equals(mBoard.self());
            if (record.isEmpty() || foreign) {
                mRenewAt = mBoard.mNow;
            }
            return;
        }
        if (record.isEmpty()) {
            mBoard.mEntries.remove(name);
            return;
        }
        mBoard.mEntries.put(name, new Versioned<>(version, record.get()));
        dropOlderLives(record.get().node());
        NodeId node = record.get().node();
        if (!mBoard.mPeers.containsKey(node)) {
            String address = record.get().peerAddress();
            mBoard.mPeers.put(node, new PeerView(address, mBoard.mNow));
            mBoard.mOutbox.connect(node, address);
        }
    }

    void onOwnRecordWritten(Optional<Long> version) {
        if (version.isPresent()) {
            mRecordVersion = version.get();
        } else {
            mBoard.mOutbox.read(StoreKeys.entry(mBoard.self().name()));
        }
    }

    void onPeerConnected(NodeId node) {
        PeerView peer = mBoard.mPeers.get(node);
        if (peer != null) {
            peer.mConnected = true;
            peer.mWasConnected = true;
            mBoard.mOutbox.sendToPeer(node, new PeerHello(mBoard.self(), mBoard.mHead.revision()));
        }
    }

    void onPeerLost(NodeId node) {
        PeerView peer = mBoard.mPeers.get(node);
        if (peer == null) {
            return;
        }
        if (peer.mConnected) {
            peer.mHeardAt = mBoard.mNow;
        }
        peer.mConnected = false;
        boolean recorded =
                Optional.ofNullable(mBoard.mEntries.get(node.name()))
                        .filter(entry -> entry.value().node().equals(node))
                        .isPresent();
        if (!recorded) {
            mBoard.mPeers.remove(node);
            mBoard.mOutbox.disconnect(node);
        }
    }

    void onHeard(NodeId node) {
        Optional.ofNullable(mBoard.mPeers.get(node)).ifPresent(peer -> peer.mHeardAt = mBoard.mNow);
    }

    /** Removes this entry's record, so that peers need not wait for its lease. */
    void leave() {
        mRenewAt = Long.MAX_VALUE;
        write(LEAVING_LEASE_MILLIS);
    }

    /** Returns whether the entry is known to be alive. */
    boolean alive(NodeId node) {
        if (node.equals(mBoard.self())) {
            return true;
        }
        PeerView peer = mBoard.mPeers.get(node);
        return peer != null && !peer.silent(mBoard.mNow);
    }

    /** Returns the names of the entries that can own partitions, this one included. */
    List<String> candidates() {
        return Stream.concat(
                        Stream.of(mBoard.self()),
                        mBoard.mPeers.entrySet().stream()
                                .filter(peer -> peer.getValue().mConnected)
                                .map(Map.Entry::getKey)
                                .filter(node -> mBoard.mEntries.containsKey(node.name()))
                                .filter(this::alive))
                .map(NodeId::name)
                .distinct()
                .toList();
    }

    /** After a pause of this process, the silence of others proves nothing. */
    private void forgivePause() {
        if (mBoard.mNow - mLastTick > PAUSE_MILLIS) {
            mBoard.mPeers.values().forEach(peer -> peer.mHeardAt = mBoard.mNow);
        }
        mLastTick = mBoard.mNow;
    }

    private void write(long leaseMillis) {
        mBoard.mOutbox.write(
                StoreKeys.entry(mBoard.self().name()),
                mRecordVersion,
                mBoard.mSelf,
                Optional.of(leaseMillis));
    }

    private void beat(NodeId node, PeerView peer) {
        if (peer.mConnected) {
            mBoard.mOutbox.sendToPeer(node, new Heartbeat(mBoard.mHead.revision()));
        }
    }

    private void dropOlderLives(NodeId node) {
        List<NodeId> older =
                mBoard.mPeers.keySet().stream().filter(node::isOtherIncarnationOf).toList();
        for (NodeId life : older) {
            mBoard.mPeers.remove(life);
            mBoard.mOutbox.disconnect(life);
        }
    }
}
