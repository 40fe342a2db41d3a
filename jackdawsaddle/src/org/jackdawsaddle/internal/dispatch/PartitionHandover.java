package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import java.util.Optional;

/** Ends this entry's ownership of a partition, wanted or not. */
final class PartitionHandover {
    private final EntryBoard mBoard;
    private final ClaimController mClaims;
    private final RecoveryController mRecovery;
    private final RoutingController mRouting;

    PartitionHandover(
            EntryBoard board,
            ClaimController claims,
            RecoveryController recovery,
            RoutingController routing) {
        mBoard = board;
        mClaims = claims;
        mRecovery = recovery;
        mRouting = routing;
    }

    /** Lets go of a partition that another entry should have. */
    void release(OwnedPartition partition) {
        PartitionRecord released = partition.record().released();
        long version = partition.mVersion;
        lose(partition);
        mBoard.mOutbox.write(
                StoreKeys.partition(partition.mIndex), version, released, Optional.empty());
    }

    /** Stops acting for a partition and hands its jobs back. */
    void lose(OwnedPartition partition) {
        mBoard.count(EntryCounter.PARTITIONS_LOST);
        mBoard.mOwned.remove(partition.mIndex);
        mClaims.onLost(partition);
        for (SidecarView sidecar : mBoard.sidecarsOf(partition)) {
            List.copyOf(sidecar.mRunning.keySet()).forEach(sidecar::remove);
            sidecar.mSealedEpoch = 0;
        }
        mRecovery.onPartitionLost(partition);
        mRouting.giveBack(partition);
    }
}
