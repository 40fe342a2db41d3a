package org.jackdawsaddle.internal.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Claims partitions without a live owner and selects owned partitions to release to other entries.
 */
final class ClaimController {
    private static final long REBALANCE_INTERVAL_MILLIS = 2_000;

    private final EntryState mState;
    private final MembershipController mMembership;
    private final Map<Integer, PartitionRecord> mPendingClaims = new HashMap<>();
    private final Map<Integer, Long> mVacantSince = new HashMap<>();
    private final Map<Integer, Long> mEndedEpochs = new HashMap<>();
    private final Map<Integer, Long> mNextReadAt = new HashMap<>();
    private long mNextRebalanceAt;

    ClaimController(EntryState state, MembershipController membership) {
        mState = state;
        mMembership = membership;
    }

    /** Returns whether no partition is known to be vacant and no claim or read is outstanding. */
    boolean idle() {
        return mPendingClaims.isEmpty() && mVacantSince.isEmpty() && mNextReadAt.isEmpty();
    }

    /**
     * Claims the partitions that have been vacant for so long that it is the turn of this entry.
     */
    void onTick() {
        if (mState.mLeaving) {
            return;
        }
        for (int index = 0; index < mState.mPartitionCount; index++) {
            if (!mState.mOwnedPartitions.containsKey(index) && !mPendingClaims.containsKey(index)) {
                claimIfVacant(index);
            }
        }
    }

    /**
     * Returns a partition to release, if this entry owns more than its fair share and another entry
     * ranks first for one of its active partitions. It returns at most one per {@link
     * #REBALANCE_INTERVAL_MILLIS}.
     */
    Optional<OwnedPartition> surplus() {
        if (mState.mNow < mNextRebalanceAt || mState.mLeaving) {
            return Optional.empty();
        }
        mNextRebalanceAt = mState.mNow + REBALANCE_INTERVAL_MILLIS;
        List<String> candidates = mMembership.candidates();
        int fairShare = Math.ceilDiv(mState.mPartitionCount, candidates.size());
        if (mState.mOwnedPartitions.size() <= fairShare) {
            return Optional.empty();
        }
        return mState.ownedPartitions().stream()
                .filter(OwnedPartition::active)
                .filter(partition -> rank(partition.mIndex, candidates) > 0)
                .findFirst();
    }

    /**
     * Handles a partition record that the store has delivered.
     *
     * @return the partition if the record names this entry as owner and this entry had not taken it
     *     over yet
     */
    Optional<OwnedPartition> onRecord(PartitionRecord record, long version) {
        int index = record.index();
        boolean ownedHere = record.currentOwner().filter(mState.self()::equals).isPresent();
        boolean fresh = record.epoch() > mEndedEpochs.getOrDefault(index, -1L);
        if (!ownedHere || !fresh || mState.mOwnedPartitions.containsKey(index)) {
            mPendingClaims.remove(index);
            return Optional.empty();
        }
        mVacantSince.remove(index);
        mPendingClaims.remove(index);
        return Optional.of(takeOwnership(record, version, true));
    }

    /**
     * Handles the answer of the store to a claim.
     *
     * @param version the version of the written record, or empty if the write was rejected
     * @return the partition if the claim succeeded
     */
    Optional<OwnedPartition> onWritten(int index, Optional<Long> version) {
        PartitionRecord claim = mPendingClaims.remove(index);
        if (claim == null || version.isEmpty()) {
            mState.mOutbox.read(StoreKeys.partition(index));
            return Optional.empty();
        }
        mVacantSince.remove(index);
        boolean previousOwnerMayAct =
                Optional.ofNullable(mState.mPartitionRecords.get(index))
                        .flatMap(before -> before.value().currentOwner())
                        .isPresent();
        mState.mPartitionRecords.put(index, new Versioned<>(version.get(), claim));
        return Optional.of(takeOwnership(claim, version.get(), previousOwnerMayAct));
    }

    /**
     * Handles a store call without an answer. The write may have taken effect, so a claim stays
     * outstanding until the record was read again.
     */
    void onFailed(int index) {
        mNextReadAt.put(index, mState.mNow + Timing.STORE_RETRY_MILLIS);
    }

    /** Reads the records again for which a store call had no answer. */
    void retryReads() {
        mNextReadAt
                .entrySet()
                .removeIf(entry -> {
                    boolean due = mState.mNow >= entry.getValue();
                    if (due) {
                        mState.mOutbox.read(StoreKeys.partition(entry.getKey()));
                    }
                    return due;
                });
    }

    /** Records that this entry must never act under the epoch of the partition again. */
    void onOwnershipEnded(OwnedPartition partition) {
        mEndedEpochs.merge(partition.mIndex, partition.mEpoch, Math::max);
        mVacantSince.remove(partition.mIndex);
    }

    private OwnedPartition takeOwnership(
            PartitionRecord record, long version, boolean previousOwnerMayAct) {
        OwnedPartition partition = new OwnedPartition(record, version, previousOwnerMayAct);
        mState.mOwnedPartitions.put(record.index(), partition);
        mState.count(EntryCounter.PARTITIONS_CLAIMED);
        return partition;
    }

    private void claimIfVacant(int index) {
        Optional<Versioned<PartitionRecord>> known =
                Optional.ofNullable(mState.mPartitionRecords.get(index));
        boolean ownedElsewhere =
                known.flatMap(record -> record.value().currentOwner())
                        .filter(owner -> !owner.equals(mState.self()))
                        .filter(mMembership::alive)
                        .isPresent();
        if (ownedElsewhere) {
            mVacantSince.remove(index);
            return;
        }
        long vacantSince = mVacantSince.computeIfAbsent(index, key -> mState.mNow);
        long claimAt =
                vacantSince + Timing.CLAIM_STAGGER_MILLIS * rank(index, mMembership.candidates());
        if (mState.mNow >= claimAt) {
            claim(index, known);
        }
    }

    private void claim(int index, Optional<Versioned<PartitionRecord>> known) {
        PartitionRecord before =
                known.map(Versioned::value).orElse(new PartitionRecord(index, 0, null, List.of()));
        PartitionRecord claim = before.claimedBy(mState.self());
        mPendingClaims.put(index, claim);
        mState.mOutbox.write(
                StoreKeys.partition(index),
                known.map(Versioned::version).orElse(0L),
                claim,
                Optional.empty());
    }

    /**
     * Returns the rank of this entry among the candidates for a partition, from 0. From the same
     * candidates all entries compute the same order, by rendezvous hashing.
     */
    private int rank(int index, List<String> candidates) {
        List<String> ordered =
                candidates.stream()
                        .sorted(
                                Comparator.comparingInt(
                                        name -> PartitionMap.hash(index + "/" + name)))
                        .toList();
        return ordered.indexOf(mState.self().name());
    }
}
