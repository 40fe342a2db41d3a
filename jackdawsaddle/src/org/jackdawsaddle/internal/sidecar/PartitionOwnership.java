package org.jackdawsaddle.internal.sidecar;

import org.jackdawsaddle.NodeId;

/** What a sidecar keeps of a partition: who may start tasks, and up to which ids. */
final class PartitionOwnership {
    long mEpoch;
    NodeId mOwner;
    long mNewestIdMillis;
    long mNewestRenewal;
    boolean mReleased;

    /** Takes a seal if no later owner has sealed; returns whether the sender is the owner now. */
    boolean seal(long epoch, NodeId owner) {
        if (epoch < mEpoch) {
            return false;
        }
        mEpoch = epoch;
        mOwner = owner;
        return true;
    }

    void recordStart(long idMillis) {
        mNewestIdMillis = Math.max(mNewestIdMillis, idMillis);
    }
}
