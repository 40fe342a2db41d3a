package org.jackdawsaddle.internal.sidecar;

import org.jackdawsaddle.NodeId;

/**
 * A sidecar's record of one partition: its owner, the epoch that serves as fencing token, and what
 * a later owner has to know about tasks that earlier owners have started here.
 */
final class PartitionOwnership {
    /** The highest epoch that has sealed the partition, or 0 before the first seal. */
    long mEpoch;

    /** The entry that sealed with {@link #mEpoch}, or null before the first seal. */
    NodeId mOwner;

    /** The latest timestamp of any submission id started here, in milliseconds since the epoch. */
    long mNewestIdMillis;

    /**
     * The latest {@code sentAt} of any confirmed renewal, by the clock of the entry that sent it.
     */
    long mNewestRenewalMillis;

    /** Whether the owner of an epoch has released the partition; not reset by a later seal. */
    boolean mReleased;

    /**
     * Makes an entry the owner unless a higher epoch has sealed the partition.
     *
     * @return whether the entry is now the owner
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
