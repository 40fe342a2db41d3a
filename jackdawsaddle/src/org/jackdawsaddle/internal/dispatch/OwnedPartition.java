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
 * A partition that this entry owns, with its lease, the seals of its sidecars and its jobs. Times
 * are in milliseconds since the epoch by this entry's clock, unless stated otherwise.
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

    /**
     * Whether the previous owner may still refuse jobs, because it is not known to have released
     * the partition.
     */
    final boolean mPreviousOwnerMayAct;

    final JobTable mJobs = new JobTable();
    final List<DeferredSubmission> mDeferredSubmissions = new ArrayList<>();
    final List<DeferredRefusal> mDeferredRefusals = new ArrayList<>();

    /** By sidecar: when its first confirmation of the seal arrived. */
    final Map<NodeId, Long> mSealedAt = new HashMap<>();

    /**
     * By roster member that was not sealed at the activation: an upper bound of the timestamps of
     * the ids whose tasks were started there.
     */
    final Map<NodeId, Long> mUnsealedIdBounds = new HashMap<>();

    Phase mPhase = Phase.SEALING;

    /** The version of {@link #record} in the store. */
    long mRecordVersion;

    private PartitionRecord mRecord;

    /** The record whose write to the store has not been confirmed yet. */
    private Optional<PartitionRecord> mPendingRecord = Optional.empty();

    /** Whether {@link #mLeaseConfirmedAt} must be computed again. */
    private boolean mConfirmationsChanged = true;

    /** The latest result of {@link #leaseConfirmedAt}. */
    private long mLeaseConfirmedAt;

    /** When {@link #mLeaseConfirmedAt} was computed, 0 if the roster has changed since. */
    private long mLeaseComputedAt;

    private Set<NodeId> mEligibleSidecars = new LinkedHashSet<>();
    long mActiveSince;

    /**
     * A previous owner may have started tasks of ids with timestamps up to this one, in
     * milliseconds since the epoch.
     */
    long mInDoubtIdBound;

    /**
     * When the latest renewal of a previous owner that a sealed sidecar has confirmed was sent, by
     * that owner's clock.
     */
    long mNewestRenewalSentAt;

    /** When the latest renewal was sent. */
    long mLastRenewalAt;

    /** When the latest confirmation of a seal arrived. */
    long mLastSealedAt;

    long mNextSealRetryAt;
    long mNextRosterCheckAt;

    /**
     * Whether, at the latest roster check, a connected sidecar was not eligible or had not
     * confirmed the lease.
     */
    boolean mRosterIncomplete = true;

    /** By sidecar: when the latest renewal that it has confirmed was sent. */
    private final Map<NodeId, Long> mLeaseConfirmations = new HashMap<>();

    /** By sidecar: the largest timestamp passed to {@link #recordStart}. */
    private final Map<NodeId, Long> mNewestIdMillis = new HashMap<>();

    OwnedPartition(PartitionRecord record, long version, boolean previousOwnerMayAct) {
        mIndex = record.index();
        mEpoch = record.epoch();
        mPreviousOwnerMayAct = previousOwnerMayAct;
        setRecord(record, version);
    }

    /**
     * Sets the record that the store holds and drops a pending one.
     *
     * @param version the version of the record in the store
     */
    void setRecord(PartitionRecord record, long version) {
        mRecord = record;
        mRecordVersion = version;
        mPendingRecord = Optional.empty();
        mEligibleSidecars = new LinkedHashSet<>(record.eligibleSidecars());
        rosterChanged();
    }

    /** Records that a write of the record, with a changed roster, is pending. */
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

    /** Returns the eligible members of the stored roster. */
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

    /**
     * Records that this owner or a previous one may have started tasks on a sidecar.
     *
     * @param idMillis the largest timestamp of their submission ids, in milliseconds since the
     *     epoch
     */
    void recordStart(NodeId sidecar, long idMillis) {
        mNewestIdMillis.merge(sidecar, idMillis, Math::max);
    }

    /**
     * Returns the largest timestamp passed to {@link #recordStart} for the sidecar, or 0 if there
     * is none.
     */
    long newestIdMillis(NodeId sidecar) {
        return mNewestIdMillis.getOrDefault(sidecar, 0L);
    }

    /** Returns whether the sidecar has ever confirmed a renewal of this epoch. */
    boolean hasConfirmedLease(NodeId sidecar) {
        return mLeaseConfirmations.containsKey(sidecar);
    }

    /**
     * Returns the latest time such that a majority of the eligible sidecars has confirmed a renewal
     * sent then or later, in milliseconds since the epoch. While a change of the roster is pending,
     * a majority of the old roster and one of the new roster must have done so.
     *
     * <p>Without eligible sidecars the result is {@code now}; without a majority it lies far in the
     * past. Confirmations that arrive after a first call in the same millisecond are considered in
     * a later millisecond.
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

    /**
     * Returns the largest timestamp, in milliseconds since the epoch, of an id whose tasks may be
     * started.
     */
    long idHorizon(long now) {
        return leaseConfirmedAt(now) + Timing.ID_HORIZON_MILLIS;
    }

    /** Returns whether the lease still allows stating that no task of a job was started. */
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
