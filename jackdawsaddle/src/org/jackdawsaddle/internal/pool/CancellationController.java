package org.jackdawsaddle.internal.pool;

import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.collection.BoundedMap;
import org.jackdawsaddle.internal.message.PoolMessage;

/**
 * Passes the cancelling of jobs that are not active here on to the other entries. One that is not
 * connected, or whose connection delivers nothing any more, may have the job: it is told when it
 * connects again.
 */
final class CancellationController {
    /** For how long an entry is told of a cancelling when it connects. */
    private static final long RETENTION_MILLIS = 30_000;

    private static final int MAX_JOBS = 1_000;

    private final PoolEntryState mState;
    private final PeerController mPeers;

    /** When each job was last cancelled, in milliseconds since the epoch; the oldest first. */
    private final BoundedMap<String, Long> mCancelledAt = new BoundedMap<>(MAX_JOBS);

    CancellationController(PoolEntryState state, PeerController peers) {
        mState = state;
        mPeers = peers;
    }

    /** Tells the other entries that a job is cancelled. */
    void pass(String job) {
        evictExpired();
        mCancelledAt.putLast(job, mState.mNow);
        mPeers.sendToAll(new PoolMessage.JobCancellation(job));
    }

    /** Tells an entry that has connected of what it may have missed. */
    void onPeerConnected(NodeId peer) {
        evictExpired();
        for (String job : mCancelledAt.keySet()) {
            mPeers.send(peer, new PoolMessage.JobCancellation(job));
        }
    }

    private void evictExpired() {
        mCancelledAt.values().removeIf(cancelledAt -> mState.mNow - cancelledAt > RETENTION_MILLIS);
    }
}
