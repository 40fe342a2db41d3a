package org.jackdawsaddle.internal.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Claims partitions without a live owner and selects owned partitions to release for other entries.
 */
final class ClaimController {
    private static final long REBALANCE_INTERVAL_MILLIS = 2_000;

    private final EntryState mState;
    private final MembershipController mMembership;

    /** By partition: the claim whose outcome is not known yet. */
    private final Map<Integer, PartitionRecord> mPendingClaims = new HashMap<>();

    /** By partition: since when no live owner is known, in milliseconds since the epoch. */
    private final Map<Integer, Long> mVacantSince = new HashMap<>();

    /** By partition: the highest epoch under which the ownership of this entry has ended. */
    private final Map<Integer, Long> mEndedEpochs = new HashMap<>();

    /** By partition: when to read the record again, after a store call without an answer. */
    private final Map<Integer, Long> mNextReadAt = new HashMap<>();

    private long mNextRebalanceAt;

    ClaimController(EntryState state, MembershipController membership) {
        mState = state;
        mMembership = membership;
    }

    /**
     * Returns whether no partition is known to be vacant, no claim is pending and no read is
     * scheduled.
     */
    boolean idle() {
        return mPendingClaims.isEmpty() && mVacantSince.isEmpty() && mNextReadAt.isEmpty();
    }

    /**
     * Claims each vacant partition once it is the turn of this entry: the candidate of rank n waits
     * for n times {@link Timing#CLAIM_STAGGER_MILLIS}, so that concurrent claims are rare. A
     * leaving entry claims nothing.
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
     * Returns an active partition to release, if this entry owns more than its fair share and
     * another entry ranks first for that partition. Returns empty until {@link
     * #REBALANCE_INTERVAL_MILLIS} have passed since the previous check, and while this entry is
     * leaving.
     */
    Optional<OwnedPartition> partitionToRelease() {
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
     * Handles a partition record that the store has delivered. If it names this entry as owner, a
     * claim has taken effect whose answer has not arrived, and this entry takes the partition over.
     * A pending claim of the partition is settled in any case.
     *
     * @param version the version of the record in the store
     * @return the partition if this call has taken it over; empty if it is owned by another entry
     *     or already taken over, or if its ownership under this epoch has ended
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
     * Handles the answer of the store to a write of a partition record, a claim or a release. After
     * a release or a rejected claim, the record is read again.
     *
     * @param version the version of the written record, or empty if the write was rejected
     * @return the partition if a claim succeeded
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
     * Handles a call for a partition record that the store has not answered. A write may have taken
     * effect, so a claim stays pending until the record has been read again.
     */
    void onFailed(int index) {
        mNextReadAt.put(index, mState.mNow + Timing.STORE_RETRY_MILLIS);
    }

    /** Reads the records for which a store call had no answer, once their delay has passed. */
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

    /** Prevents this entry from taking the partition over again under the same epoch. */
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

    /** Claims a partition if no other live entry owns it and it is the turn of this entry. */
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
