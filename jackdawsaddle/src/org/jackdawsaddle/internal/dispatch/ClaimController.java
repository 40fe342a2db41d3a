package org.jackdawsaddle.internal.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Claims partitions that have no live owner, and lets go of those that others should have. */
final class ClaimController {
    private static final long REBALANCE_MILLIS = 2_000;

    private final EntryBoard mBoard;
    private final MembershipController mMembership;
    private final Map<Integer, PartitionRecord> mClaims = new HashMap<>();
    private final Map<Integer, Long> mVacantSince = new HashMap<>();
    private final Map<Integer, Long> mLostEpochs = new HashMap<>();
    private final Map<Integer, Long> mAskAt = new HashMap<>();
    private long mRebalanceAt;

    ClaimController(EntryBoard board, MembershipController membership) {
        mBoard = board;
        mMembership = membership;
    }

    /** Returns whether every partition has a live owner, as far as is known here. */
    boolean settled() {
        return mClaims.isEmpty() && mVacantSince.isEmpty() && mAskAt.isEmpty();
    }

    /** Claims whatever partition is this entry's turn. */
    void onTick() {
        if (mBoard.mLeaving) {
            return;
        }
        for (int index = 0; index < mBoard.mPartitionCount; index++) {
            if (!mBoard.mOwned.containsKey(index) && !mClaims.containsKey(index)) {
                claimIfVacant(index);
            }
        }
    }

    /** Returns a partition that another entry should own, at most one every two seconds. */
    Optional<OwnedPartition> surplus() {
        if (mBoard.mNow < mRebalanceAt || mBoard.mLeaving) {
            return Optional.empty();
        }
        mRebalanceAt = mBoard.mNow + REBALANCE_MILLIS;
        List<String> candidates = mMembership.candidates();
        int fairShare = Math.ceilDiv(mBoard.mPartitionCount, candidates.size());
        if (mBoard.mOwned.size() <= fairShare) {
            return Optional.empty();
        }
        return mBoard.owned().stream()
                .filter(OwnedPartition::active)
                .filter(partition -> rank(partition.mIndex, candidates) > 0)
                .findFirst();
    }

    /**
     * Takes the store's word on a partition.
     *
     * @return the partition if the record makes it this entry's
     */
    Optional<OwnedPartition> onRecord(PartitionRecord record, long version) {
        int index = record.index();
        boolean mine = record.holder().filter(mBoard.self()::equals).isPresent();
        boolean fresh = record.epoch() > mLostEpochs.getOrDefault(index, -1L);
        if (!mine || !fresh || mBoard.mOwned.containsKey(index)) {
            mClaims.remove(index);
            return Optional.empty();
        }
        mVacantSince.remove(index);
        mClaims.remove(index);
        return Optional.of(own(record, version, true));
    }

    /** Takes the answer to a claim. */
    Optional<OwnedPartition> onWritten(int index, Optional<Long> version) {
        PartitionRecord claim = mClaims.remove(index);
        if (claim == null || version.isEmpty()) {
            mBoard.mOutbox.read(StoreKeys.partition(index));
            return Optional.empty();
        }
        mVacantSince.remove(index);
        boolean hadOwner =
                Optional.ofNullable(mBoard.mPartitions.get(index))
                        .flatMap(before -> before.value().holder())
                        .isPresent();
        mBoard.mPartitions.put(index, new Versioned<>(version.get(), claim));
        return Optional.of(own(claim, version.get(), hadOwner));
    }

    /** Takes note that the answer to a claim is missing; the claim stays open until it is read. */
    void onFailed(int index) {
        mAskAt.put(index, mBoard.mNow + Timing.STORE_RETRY_MILLIS);
    }

    /** Reads again what the store has not told. */
    void askAgain() {
        mAskAt.entrySet()
                .removeIf(entry -> {
                    boolean due = mBoard.mNow >= entry.getValue();
                    if (due) {
                        mBoard.mOutbox.read(StoreKeys.partition(entry.getKey()));
                    }
                    return due;
                });
    }

    /** Remembers that this entry must never again act under the epoch. */
    void onLost(OwnedPartition partition) {
        mLostEpochs.merge(partition.mIndex, partition.mEpoch, Math::max);
        mVacantSince.remove(partition.mIndex);
    }

    private OwnedPartition own(PartitionRecord record, long version, boolean hadOwner) {
        OwnedPartition partition = new OwnedPartition(record, version, hadOwner);
        mBoard.mOwned.put(record.index(), partition);
        mBoard.count(EntryCounter.PARTITIONS_CLAIMED);
        return partition;
    }

    private void claimIfVacant(int index) {
        Optional<Versioned<PartitionRecord>> known =
                Optional.ofNullable(mBoard.mPartitions.get(index));
        boolean held =
                known.flatMap(record -> record.value().holder())
                        .filter(holder -> !holder.equals(mBoard.self()))
                        .filter(mMembership::alive)
                        .isPresent();
        if (held) {
            mVacantSince.remove(index);
            return;
        }
        long vacantSince = mVacantSince.computeIfAbsent(index, key -> mBoard.mNow);
        long turn = vacantSince + Timing.CLAIM_STEP_MILLIS * rank(index, mMembership.candidates());
        if (mBoard.mNow >= turn) {
            claim(index, known);
        }
    }

    private void claim(int index, Optional<Versioned<PartitionRecord>> known) {
        PartitionRecord before =
                known.map(Versioned::value).orElse(new PartitionRecord(index, 0, null, List.of()));
        PartitionRecord claim = before.claimedBy(mBoard.self());
        mClaims.put(index, claim);
        mBoard.mOutbox.write(
                StoreKeys.partition(index),
                known.map(Versioned::version).orElse(0L),
                claim,
                Optional.empty());
    }

    /** Returns the place of this entry among the candidates for a partition, from 0. */
    private int rank(int index, List<String> candidates) {
        List<String> ordered =
                candidates.stream()
                        .sorted(
                                Comparator.comparingInt(
                                        name -> PartitionMap.hash(index + "/" + name)))
                        .toList();
        return ordered.indexOf(mBoard.self().name());
    }
}
