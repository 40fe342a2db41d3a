package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import java.util.Optional;

/**
 * Ends this entry's ownership of a partition, voluntarily or after another entry has claimed it.
 */
final class PartitionHandover {
    private final EntryState mState;
    private final ClaimController mClaims;
    private final RecoveryController mRecovery;
    private final RoutingController mRouting;

    PartitionHandover(
            EntryState state,
            ClaimController claims,
            RecoveryController recovery,
            RoutingController routing) {
        mState = state;
        mClaims = claims;
        mRecovery = recovery;
        mRouting = routing;
    }

    /**
     * Gives up a partition and writes its release to the store, so that another entry can claim it.
     */
    void release(OwnedPartition partition) {
        PartitionRecord released = partition.record().released();
        long version = partition.mRecordVersion;
        endOwnership(partition);
        mState.mOutbox.write(
                StoreKeys.partition(partition.mIndex), version, released, Optional.empty());
    }

    /** Stops acting as owner of a partition and returns its jobs to be routed to the new owner. */
    void endOwnership(OwnedPartition partition) {
        mState.count(EntryCounter.PARTITIONS_LOST);
        mState.mOwnedPartitions.remove(partition.mIndex);
        mClaims.onOwnershipEnded(partition);
        for (SidecarView sidecar : mState.sidecarsOf(partition)) {
            List.copyOf(sidecar.mRunning.keySet()).forEach(sidecar::remove);
            sidecar.mSealedEpoch = 0;
        }
        mRecovery.onOwnershipEnded(partition);
        mRouting.rerouteJobs(partition);
    }
}
