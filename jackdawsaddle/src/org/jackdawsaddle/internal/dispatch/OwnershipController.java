package org.jackdawsaddle.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.EntryMessage.Release;
import org.jackdawsaddle.internal.message.EntryMessage.RenewLease;
import org.jackdawsaddle.internal.message.EntryMessage.Seal;
import org.jackdawsaddle.internal.message.SidecarMessage.LeaseRenewed;
import org.jackdawsaddle.internal.message.SidecarMessage.Sealed;

/**
 * Maintains the partitions that this entry owns: seals their sidecars after a claim, renews the
 * leases and keeps the rosters in the store up to date.
 *
 * <p>A sidecar that is sealed for an epoch refuses starts of all other epochs, and seals of lower
 * ones have no effect, so the epoch is a fencing token.
 */
final class OwnershipController {
    /** The interval of renewals while refusals are deferred or the roster is incomplete. */
    private static final long MIN_RENEWAL_INTERVAL_MILLIS = 25;

    private static final long ROSTER_CHECK_INTERVAL_MILLIS = 60;
    private static final long SEAL_RETRY_MILLIS = 200;

    private final EntryState mState;

    OwnershipController(EntryState state) {
        mState = state;
    }

    /** Asks the connected sidecars of a partition that have not yet sealed its epoch to do so. */
    void sealSidecars(OwnedPartition partition) {
        for (SidecarView sidecar : mState.sidecarsOf(partition)) {
            seal(partition, sidecar);
        }
    }

    /** Asks a sidecar that has announced itself to seal the partition, unless it has done so. */
    void onAnnounced(OwnedPartition partition, SidecarView sidecar) {
        seal(partition, sidecar);
    }

    /**
     * Handles the confirmation of a seal; returns false if a later owner has sealed the partition.
     */
    boolean onSealed(OwnedPartition partition, SidecarView sidecar, Sealed sealed) {
        if (sealed.epoch() > partition.mEpoch) {
            return false;
        }
        if (sealed.epoch() < partition.mEpoch) {
            return true;
        }
        sidecar.mSealedEpoch = sealed.epoch();
        partition.recordStart(sidecar.node(), sealed.newestIdMillis());
        partition.mSealedAt.putIfAbsent(sidecar.node(), mState.mNow);
        partition.mLastSealedAt = mState.mNow;
        if (!partition.active()) {
            partition.mInDoubtIdBound =
                    Math.max(partition.mInDoubtIdBound, sealed.newestIdMillis());
            partition.mNewestRenewalSentAt =
                    Math.max(partition.mNewestRenewalSentAt, sealed.newestRenewal());
        }
        return true;
    }

    /**
     * Handles the confirmation of a lease renewal; returns false if a later owner has sealed the
     * partition.
     */
    boolean onRenewed(OwnedPartition partition, SidecarView sidecar, LeaseRenewed renewed) {
        if (renewed.epoch() > partition.mEpoch) {
            return false;
        }
        if (renewed.epoch() == partition.mEpoch) {
            partition.confirmLease(sidecar.node(), renewed.sentAt());
        }
        return true;
    }

    /**
     * Advances the takeover, renews the lease and updates the roster; returns whether the partition
     * became active in this call.
     */
    boolean onTick(OwnedPartition partition) {
        boolean activated = false;
        retrySeals(partition);
        if (!partition.active()) {
            activated = activateIfSealed(partition);
        }
        if (partition.active()) {
            if (mState.mNow >= partition.mNextRosterCheckAt) {
                partition.mNextRosterCheckAt = mState.mNow + ROSTER_CHECK_INTERVAL_MILLIS;
                updateRoster(partition);
                releaseLeavingSidecars(partition);
                partition.mRosterIncomplete = rosterIncomplete(partition);
            }
            renewLeaseIfDue(partition);
        }
        return activated;
    }

    /**
     * Adopts a record of this epoch that the store holds: a roster change that this entry has
     * written, or an operator's change. A roster change that is still pending is dropped.
     */
    void adoptRecord(OwnedPartition partition, PartitionRecord record, long version) {
        partition.setRecord(record, version);
    }

    private void writeRoster(OwnedPartition partition, PartitionRecord record) {
        partition.setPendingRecord(record);
        mState.mOutbox.write(
                StoreKeys.partition(partition.mIndex),
                partition.mRecordVersion,
                record,
                Optional.empty());
    }

    /** Sends the pending roster write again, if any; a read has shown that it is not stored yet. */
    void retryRosterWrite(OwnedPartition partition) {
        partition.pendingRecord().ifPresent(record -> writeRoster(partition, record));
    }

    private void seal(OwnedPartition partition, SidecarView sidecar) {
        if (sidecar.mConnected && sidecar.mSealedEpoch != partition.mEpoch) {
            mState.mOutbox.sendToSidecar(
                    sidecar.node(), new Seal(partition.mIndex, partition.mEpoch));
        }
    }

    private void retrySeals(OwnedPartition partition) {
        if (mState.mNow < partition.mNextSealRetryAt) {
            return;
        }
        partition.mNextSealRetryAt = mState.mNow + SEAL_RETRY_MILLIS;
        sealSidecars(partition);
    }

    /**
     * Activates the partition once a majority of its eligible sidecars are sealed or have been
     * replaced by another incarnation; without eligible sidecars, at once. If the previous owner
     * may still refuse jobs, {@link Timing#REFUSAL_LEASE_MILLIS} must have passed since the last
     * seal too.
     *
     * <p>A majority is sufficient: the previous owner only starts tasks of ids up to {@link
     * Timing#ID_HORIZON_MILLIS} after a renewal that a majority has confirmed, and any two
     * majorities share a sidecar, which reports that renewal when it is sealed. {@link
     * #newestIdBound} covers majorities that include replaced incarnations.
     *
     * @return whether the partition was activated
     */
    private boolean activateIfSealed(OwnedPartition partition) {
        Collection<NodeId> members = partition.eligibleSidecars();
        long accountedFor =
                members.stream()
                        .filter(member ->
                                partition.mSealedAt.containsKey(member) || replaced(member))
                        .count();
        if (!members.isEmpty() && accountedFor < OwnedPartition.majority(members)) {
            return false;
        }
        boolean refusalsPossible = partition.mPreviousOwnerMayAct && !members.isEmpty();
        long wait = refusalsPossible ? Timing.REFUSAL_LEASE_MILLIS : 0;
        if (mState.mNow < partition.mLastSealedAt + wait) {
            return false;
        }
        activate(partition);
        return true;
    }

    private void activate(OwnedPartition partition) {
        for (RosterMember member : partition.record().roster()) {
            if (!partition.mSealedAt.containsKey(member.sidecar())) {
                long bound = newestIdBound(partition, member);
                partition.mUnsealedIdBounds.put(member.sidecar(), bound);
                partition.mInDoubtIdBound = Math.max(partition.mInDoubtIdBound, bound);
            }
        }
        partition.mPhase = OwnedPartition.Phase.ACTIVE;
        partition.mActiveSince = mState.mNow;
    }

    /**
     * Returns an upper bound of the timestamps of the ids whose tasks previous owners may have
     * started on a member that is not sealed, in milliseconds since the epoch. For a retired member
     * it is the recorded bound. If the majority includes replaced incarnations, which report no
     * renewal, the bound follows from the time at which the member was replaced, or from the
     * current time.
     */
    private long newestIdBound(OwnedPartition partition, RosterMember member) {
        if (!member.eligible()) {
            return member.newestIdMillis();
        }
        long sealed =
                partition.eligibleSidecars().stream()
                        .filter(partition.mSealedAt::containsKey)
                        .count();
        if (sealed >= OwnedPartition.majority(partition.eligibleSidecars())) {
            return partition.mNewestRenewalSentAt + Timing.ID_HORIZON_MILLIS;
        }
        long lastPossibleStart =
                replaced(member.sidecar()) ? replacementStartedAt(member.sidecar()) : mState.mNow;
        return lastPossibleStart + Timing.MAX_CLOCK_SKEW_MILLIS + Timing.ID_HORIZON_MILLIS;
    }

    private boolean replaced(NodeId member) {
        return mState.replacementOf(member).isPresent();
    }

    private long replacementStartedAt(NodeId member) {
        return mState.replacementOf(member).map(view -> view.mHello.startedAt()).orElse(0L);
    }

    /**
     * Returns whether a connected sidecar is not eligible, in the stored roster or in a pending
     * change of it, or has not yet confirmed the lease.
     */
    private boolean rosterIncomplete(OwnedPartition partition) {
        return mState.sidecarsOf(partition).stream()
                .anyMatch(view ->
                        view.mConnected
                                && !(partition.mayStartOn(view.node())
                                        && partition.hasConfirmedLease(view.node())));
    }

    /**
     * Adds the connected, sealed sidecars that are not leaving to the roster, retires those that
     * must get no more tasks, removes expired members and writes the roster if it has changed. Does
     * nothing while a write is pending.
     */
    private void updateRoster(OwnedPartition partition) {
        if (partition.pendingRecord().isPresent()) {
            return;
        }
        List<RosterMember> roster = new ArrayList<>();
        for (RosterMember member : partition.record().roster()) {
            updatedMember(partition, member).ifPresent(roster::add);
        }
        for (SidecarView sidecar : mState.sidecarsOf(partition)) {
            boolean usable = sidecar.mConnected && sidecar.mSealedEpoch == partition.mEpoch;
            if (usable && !sidecar.mHello.leaving() && !partition.mayStartOn(sidecar.node())) {
                roster.removeIf(member -> member.sidecar().equals(sidecar.node()));
                roster.add(RosterMember.createEligible(sidecar.node()));
            }
        }
        if (!roster.equals(partition.record().roster())) {
            writeRoster(partition, partition.record().withRoster(roster));
        }
    }

    /**
     * Returns the updated roster member, or empty if it was retired so long ago that no id whose
     * tasks were started on it is valid any more.
     */
    private Optional<RosterMember> updatedMember(OwnedPartition partition, RosterMember member) {
        if (member.eligible()) {
            return Optional.of(
                    shouldRetire(member.sidecar()) ? retire(partition, member.sidecar()) : member);
        }
        long retention = Timing.ID_LIFETIME_MILLIS + 2 * Timing.MAX_CLOCK_SKEW_MILLIS;
        return mState.mNow > member.unusedSince() + retention
                ? Optional.empty()
                : Optional.of(member);
    }

    /**
     * Returns whether no more tasks are to be started on a roster member: it is ready to exit, was
     * replaced by another incarnation, has been disconnected for longer than {@link
     * Timing#ROSTER_GRACE_MILLIS} or is unknown to this entry.
     */
    private boolean shouldRetire(NodeId sidecar) {
        Optional<SidecarView> view = mState.sidecar(sidecar);
        boolean mayExit = view.filter(SidecarView::canExit).isPresent();
        long disconnectedAt =
                view.map(lost -> lost.mConnected ? Long.MAX_VALUE : lost.mDisconnectedAt)
                        .orElse(0L);
        return mayExit
                || replaced(sidecar)
                || disconnectedAt < mState.mNow - Timing.ROSTER_GRACE_MILLIS;
    }

    /**
     * Returns the member as retired now, with an upper bound of the timestamps of the ids whose
     * tasks were started on it.
     */
    private RosterMember retire(OwnedPartition partition, NodeId sidecar) {
        long newestIdMillis =
                partition.mSealedAt.containsKey(sidecar)
                        ? partition.newestIdMillis(sidecar)
                        : partition.mUnsealedIdBounds.getOrDefault(
                                sidecar, partition.mInDoubtIdBound);
        return new RosterMember(sidecar, mState.mNow, newestIdMillis);
    }

    /** Releases the leaving sidecars that are ready to exit and no longer eligible. */
    private void releaseLeavingSidecars(OwnedPartition partition) {
        for (SidecarView sidecar : mState.sidecarsOf(partition)) {
            boolean retiredHere =
                    sidecar.mSealedEpoch == partition.mEpoch
                            && !partition.eligibleSidecars().contains(sidecar.node());
            if (retiredHere && sidecar.canExit()) {
                mState.mOutbox.sendToSidecar(
                        sidecar.node(), new Release(partition.mIndex, partition.mEpoch));
            }
        }
    }

    private void renewLeaseIfDue(OwnedPartition partition) {
        boolean due = mState.mNow >= partition.mLastRenewalAt + Timing.LEASE_RENEWAL_MILLIS;
        boolean early =
                mState.mNow >= partition.mLastRenewalAt + MIN_RENEWAL_INTERVAL_MILLIS
                        && (!partition.mDeferredRefusals.isEmpty() || partition.mRosterIncomplete);
        if (due || early) {
            renewLease(partition);
        }
    }

    /**
     * Asks every sealed and connected sidecar of the partition to confirm the lease. The time sent
     * grows with each renewal, even within one millisecond.
     */
    void renewLease(OwnedPartition partition) {
        partition.mLastRenewalAt = Math.max(mState.mNow, partition.mLastRenewalAt + 1);
        for (SidecarView sidecar : mState.sidecarsOf(partition)) {
            if (!sidecar.mConnected || sidecar.mSealedEpoch != partition.mEpoch) {
                continue;
            }
            mState.mOutbox.sendToSidecar(
                    sidecar.node(),
                    new RenewLease(partition.mIndex, partition.mEpoch, partition.mLastRenewalAt));
        }
    }
}
