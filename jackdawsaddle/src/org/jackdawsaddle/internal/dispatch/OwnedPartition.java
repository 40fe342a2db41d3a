package org.jackdawsaddle.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jackdawsaddle.NodeId;

/** A partition that this entry has claimed: its lease, its seals and its jobs. */
final class OwnedPartition {
    /** How far the takeover has come. */
    enum Phase {
        /** Sidecars are being sealed; submissions wait. */
        SEALING,
        /** Tasks may be started. */
        ACTIVE
    }

    final int mIndex;
    final long mEpoch;
    final boolean mHadOwner;
    final JobBook mBook = new JobBook();
    final List<HeldSubmission> mHeld = new ArrayList<>();
    final List<HeldRefusal> mRefusals = new ArrayList<>();
    final Map<NodeId, Long> mSealedAt = new HashMap<>();
    final Map<NodeId, Long> mUnsealed = new HashMap<>();
    Phase mPhase = Phase.SEALING;
    long mVersion;
    private PartitionRecord mRecord;
    private Optional<PartitionRecord> mPending = Optional.empty();
    private boolean mGrantsChanged = true;
    private long mConfirmed;
    private long mConfirmedCheckedAt;
    private Set<NodeId> mInUse = new LinkedHashSet<>();
    long mActiveSince;
    long mDoubtUntil;
    long mNewestRenewal;
    long mLastRound;
    long mLastSealAt;
    long mSealRepeatAt;
    long mRosterCheckAt;
    boolean mRosterIncomplete = true;
    private final Map<NodeId, Long> mGrants = new HashMap<>();
    private final Map<NodeId, Long> mNewestStarted = new HashMap<>();

    OwnedPartition(PartitionRecord record, long version, boolean hadOwner) {
        mIndex = record.index();
        mEpoch = record.epoch();
        mHadOwner = hadOwner;
        confirm(record, version);
    }

    /** Takes the record as the store has it. */
    void confirm(PartitionRecord record, long version) {
        mRecord = record;
        mVersion = version;
        mPending = Optional.empty();
        mInUse = new LinkedHashSet<>(record.inUse());
        rosterChanged();
    }

    /** Notes that a change of the roster is being written. */
    void await(PartitionRecord record) {
        mPending = Optional.of(record);
        rosterChanged();
    }

    Optional<PartitionRecord> pending() {
        return mPending;
    }

    private void rosterChanged() {
        mGrantsChanged = true;
        mConfirmedCheckedAt = 0;
    }

    PartitionRecord record() {
        return mRecord;
    }

    Set<NodeId> inUse() {
        return mInUse;
    }

    boolean active() {
        return mPhase == Phase.ACTIVE;
    }

    /** Returns whether the roster, and any change of it under way, allows starts there. */
    boolean mayUse(NodeId sidecar) {
        return mInUse.contains(sidecar)
                && (mPending.isEmpty() || mPending.get().inUse().contains(sidecar));
    }

    /** Records that a sidecar confirmed the lease of a round. */
    void grant(NodeId sidecar, long sentAt) {
        mGrants.merge(sidecar, sentAt, Math::max);
        mGrantsChanged = true;
    }

    /** Notes the timestamp of an id that was started on a sidecar. */
    void noteStarted(NodeId sidecar, long idMillis) {
        mNewestStarted.merge(sidecar, idMillis, Math::max);
    }

    long newestStarted(NodeId sidecar) {
        return mNewestStarted.getOrDefault(sidecar, 0L);
    }

    boolean granted(NodeId sidecar) {
        return mGrants.containsKey(sidecar);
    }

    /**
     * Returns the latest time at which a majority of the roster is known to have confirmed the
     * lease. While a change of the roster is being written, majorities of both are needed.
     */
    long confirmedAt(long now) {
        if (mGrantsChanged && now != mConfirmedCheckedAt || mInUse.isEmpty()) {
            mConfirmed = majorityGrant(mInUse, now);
            if (mPending.isPresent()) {
                mConfirmed = Math.min(mConfirmed, majorityGrant(mPending.get().inUse(), now));
            }
            mGrantsChanged = false;
            mConfirmedCheckedAt = now;
        }
        return mConfirmed;
    }

    /** Returns the newest timestamp of an id that may be started. */
    long idHorizon(long now) {
        return confirmedAt(now) + Timing.ID_HORIZON_MILLIS;
    }

    boolean mayRefuse(long now) {
        return active() && now < confirmedAt(now) + Timing.REFUSAL_LEASE_MILLIS;
    }

    static int majority(Collection<NodeId> members) {
        return members.size() / 2 + 1;
    }

    private long majorityGrant(Collection<NodeId> members, long now) {
        if (members.isEmpty()) {
            return now;
        }
        return members.stream()
                .map(member -> mGrants.getOrDefault(member, Long.MIN_VALUE / 2))
                .sorted(Comparator.reverseOrder())
                .skip(majority(members) - 1L)
                .findFirst()
                .orElseThrow();
    }
}
