package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import java.util.Optional;

/**
 * Ends this entry's ownership of a partition: by a release, when the entry leaves or owns more than
 * its fair share, or because the store or a sidecar shows that the ownership has ended.
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
     * Ends the ownership of a partition and writes a record without an owner to the store, so that
     * another entry can claim the partition without waiting for a timeout.
     */
    void release(OwnedPartition partition) {
        PartitionRecord released = partition.record().released();
        long version = partition.mRecordVersion;
        endOwnership(partition);
        mState.mOutbox.write(
                StoreKeys.partition(partition.mIndex), version, released, Optional.empty());
    }

    /**
     * Stops acting as owner of a partition, on a release as well as on a loss. Forgets the tasks
     * that run on its sidecars without stopping them, and drops its open inquiries about in-doubt
     * jobs. Its unanswered jobs, deferred submissions and deferred refusals are routed to the next
     * owner.
     */
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
