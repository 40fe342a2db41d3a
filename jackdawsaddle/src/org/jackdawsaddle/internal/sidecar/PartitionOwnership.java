package org.jackdawsaddle.internal.sidecar;

import org.jackdawsaddle.NodeId;

/**
 * A sidecar's record of one partition: its owner, the epoch that serves as fencing token, and what
 * a later owner has to know about tasks that earlier owners have started here.
 */
final class PartitionOwnership {
    long mEpoch;
    NodeId mOwner;
    long mNewestIdMillis;
    long mNewestRenewalMillis;
    boolean mReleased;

    /**
     * Makes the sender the owner unless a higher epoch has sealed the partition.
     *
     * @return whether the sender is now the owner
     */
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
