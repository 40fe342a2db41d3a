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

/**
 * A partition that this entry has claimed, with its lease, the seals of its sidecars and its jobs.
 */
final class OwnedPartition {
    /** The progress of the takeover. */
    enum Phase {
        /** Sidecars are being sealed for the new epoch; submissions are deferred. */
        SEALING,
        /** Tasks may be started. */
        ACTIVE
    }

    final int mIndex;
    final long mEpoch;
    final boolean mPreviousOwnerMayAct;
    final JobTable mJobs = new JobTable();
    final List<DeferredSubmission> mDeferredSubmissions = new ArrayList<>();
    final List<DeferredRefusal> mDeferredRefusals = new ArrayList<>();
    final Map<NodeId, Long> mSealedAt = new HashMap<>();

    /**
     * By roster member that was not sealed: an upper bound of the timestamps of ids started there.
     */
    final Map<NodeId, Long> mUnsealedIdBounds = new HashMap<>();

    Phase mPhase = Phase.SEALING;
    long mRecordVersion;
    private PartitionRecord mRecord;
    private Optional<PartitionRecord> mPendingRecord = Optional.empty();
    private boolean mConfirmationsChanged = true;
    private long mLeaseConfirmedAt;
    private long mLeaseComputedAt;
    private Set<NodeId> mEligibleSidecars = new LinkedHashSet<>();
    long mActiveSince;

    /** Ids up to this timestamp may have been started by a previous owner. */
    long mInDoubtUntil;

    /** The latest renewal of a previous owner that a sealed sidecar has confirmed. */
    long mNewestRenewal;

    long mLastRenewalAt;
    long mLastSealedAt;
    long mNextSealRetryAt;
    long mNextRosterCheckAt;
    boolean mRosterIncomplete = true;
    private final Map<NodeId, Long> mLeaseConfirmations = new HashMap<>();
    private final Map<NodeId, Long> mNewestIdMillis = new HashMap<>();

    OwnedPartition(PartitionRecord record, long version, boolean previousOwnerMayAct) {
        mIndex = record.index();
        mEpoch = record.epoch();
        mPreviousOwnerMayAct = previousOwnerMayAct;
        setRecord(record, version);
    }

    /** Sets the record that the store holds; no write is pending any more. */
    void setRecord(PartitionRecord record, long version) {
        mRecord = record;
        mRecordVersion = version;
        mPendingRecord = Optional.empty();
        mEligibleSidecars = new LinkedHashSet<>(record.eligibleSidecars());
        rosterChanged();
    }

    /** Records that a write of a changed roster is pending. */
    void setPendingRecord(PartitionRecord record) {
        mPendingRecord = Optional.of(record);
        rosterChanged();
    }

    Optional<PartitionRecord> pendingRecord() {
        return mPendingRecord;
    }

    private void rosterChanged() {
        mConfirmationsChanged = true;
        mLeaseComputedAt = 0;
    }

    PartitionRecord record() {
        return mRecord;
    }

    Set<NodeId> eligibleSidecars() {
        return mEligibleSidecars;
    }

    boolean active() {
        return mPhase == Phase.ACTIVE;
    }

    /**
     * Returns whether tasks may be started on the sidecar, according to the stored roster and to a
     * pending change of it.
     */
    boolean mayStartOn(NodeId sidecar) {
        return mEligibleSidecars.contains(sidecar)
                && (mPendingRecord.isEmpty()
                        || mPendingRecord.get().eligibleSidecars().contains(sidecar));
    }

    /**
     * Records that a sidecar confirmed a lease renewal.
     *
     * @param sentAt the time at which the renewal was sent, in milliseconds since the epoch
     */
    void confirmLease(NodeId sidecar, long sentAt) {
        mLeaseConfirmations.merge(sidecar, sentAt, Math::max);
        mConfirmationsChanged = true;
    }

    /** Records the timestamp of an id that was started on a sidecar. */
    void recordStart(NodeId sidecar, long idMillis) {
        mNewestIdMillis.merge(sidecar, idMillis, Math::max);
    }

    long newestIdMillis(NodeId sidecar) {
        return mNewestIdMillis.getOrDefault(sidecar, 0L);
    }

    boolean hasConfirmedLease(NodeId sidecar) {
        return mLeaseConfirmations.containsKey(sidecar);
    }

    /**
     * Returns the latest time such that a majority of the roster has confirmed a renewal sent then
     * or later. While a change of the roster is pending, a majority of either roster must have done
     * so.
     */
    long leaseConfirmedAt(long now) {
        if (mConfirmationsChanged && now != mLeaseComputedAt || mEligibleSidecars.isEmpty()) {
            mLeaseConfirmedAt = majorityConfirmation(mEligibleSidecars, now);
            if (mPendingRecord.isPresent()) {
                mLeaseConfirmedAt =
                        Math.min(
                                mLeaseConfirmedAt,
                                majorityConfirmation(mPendingRecord.get().eligibleSidecars(), now));
            }
            mConfirmationsChanged = false;
            mLeaseComputedAt = now;
        }
        return mLeaseConfirmedAt;
    }

    /** Returns the largest timestamp of an id that may be started. */
    long idHorizon(long now) {
        return leaseConfirmedAt(now) + Timing.ID_HORIZON_MILLIS;
    }

    /** Returns whether the lease still allows stating that nothing of a job was started. */
    boolean mayRefuse(long now) {
        return active() && now < leaseConfirmedAt(now) + Timing.REFUSAL_LEASE_MILLIS;
    }

    /** Returns the number of members that form a majority. */
    static int majority(Collection<NodeId> members) {
        return members.size() / 2 + 1;
    }

    private long majorityConfirmation(Collection<NodeId> members, long now) {
        if (members.isEmpty()) {
            return now;
        }
        return members.stream()
                .map(member -> mLeaseConfirmations.getOrDefault(member, Long.MIN_VALUE / 2))
                .sorted(Comparator.reverseOrder())
                .skip(majority(members) - 1L)
                .findFirst()
                .orElseThrow();
    }
}
