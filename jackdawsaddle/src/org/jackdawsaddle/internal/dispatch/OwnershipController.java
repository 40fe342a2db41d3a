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
 * <p>A sidecar that is sealed for an epoch refuses starts of lower epochs, so the epoch is a
 * fencing token.
 */
final class OwnershipController {
    private static final long MIN_RENEWAL_INTERVAL_MILLIS = 25;
    private static final long ROSTER_CHECK_INTERVAL_MILLIS = 60;
    private static final long SEAL_RETRY_MILLIS = 200;

    private final EntryState mState;

    OwnershipController(EntryState state) {
        mState = state;
    }

    /**
     * Asks all connected sidecars of a claimed partition to seal it for the epoch of this entry.
     */
    void sealSidecars(OwnedPartition partition) {
        for (SidecarView sidecar : mState.sidecarsOf(partition)) {
            seal(partition, sidecar);
        }
    }

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
            partition.mInDoubtUntil = Math.max(partition.mInDoubtUntil, sealed.newestIdMillis());
            partition.mNewestRenewal = Math.max(partition.mNewestRenewal, sealed.newestRenewal());
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

    /** Handles the confirmation of the store that a roster change was written. */
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

    /** Retries a roster write that has not taken effect. */
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
     * Activates the partition once enough of its sidecars are sealed or have ended.
     *
     * <p>A majority is sufficient: the previous owner starts only ids up to {@link
     * Timing#ID_HORIZON_MILLIS} after a renewal that a majority has confirmed, and any two
     * majorities share a sidecar, which reports that renewal when it is sealed.
     */
    private boolean activateIfSealed(OwnedPartition partition) {
        Collection<NodeId> members = partition.eligibleSidecars();
        long accountedFor =
                members.stream()
                        .filter(member ->
                                partition.mSealedAt.containsKey(member) || superseded(member))
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
                partition.mInDoubtUntil = Math.max(partition.mInDoubtUntil, bound);
            }
        }
        partition.mPhase = OwnedPartition.Phase.ACTIVE;
        partition.mActiveSince = mState.mNow;
    }

    /** Returns the largest timestamp of an id that may have been started on the member. */
    private long newestIdBound(OwnedPartition partition, RosterMember member) {
        if (!member.eligible()) {
            return member.newestIdMillis();
        }
        long sealed =
                partition.eligibleSidecars().stream()
                        .filter(partition.mSealedAt::containsKey)
                        .count();
        if (sealed >= OwnedPartition.majority(partition.eligibleSidecars())) {
            return partition.mNewestRenewal + Timing.ID_HORIZON_MILLIS;
        }
        long lastPossibleStart =
                superseded(member.sidecar()) ? successorStart(member.sidecar()) : mState.mNow;
        return lastPossibleStart + Timing.MAX_CLOCK_SKEW_MILLIS + Timing.ID_HORIZON_MILLIS;
    }

    private boolean superseded(NodeId member) {
        return mState.successor(member).isPresent();
    }

    private long successorStart(NodeId member) {
        return mState.successor(member).map(view -> view.mHello.startedAt()).orElse(0L);
    }

    /**
     * Returns whether a connected sidecar is not yet in use in the roster or has not yet confirmed
     * the lease.
     */
    private boolean rosterIncomplete(OwnedPartition partition) {
        return mState.sidecarsOf(partition).stream()
                .anyMatch(view ->
                        view.mConnected
                                && !(partition.mayStartOn(view.node())
                                        && partition.hasConfirmedLease(view.node())));
    }

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
     * Returns the updated roster entry of the member, or empty if it can be removed: no id that may
     * have been started on it is valid any more.
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
     * replaced by another incarnation or has been disconnected for too long.
     */
    private boolean shouldRetire(NodeId sidecar) {
        Optional<SidecarView> view = mState.sidecar(sidecar);
        boolean mayExit = view.filter(SidecarView::canExit).isPresent();
        long disconnectedAt =
                view.map(lost -> lost.mConnected ? Long.MAX_VALUE : lost.mDisconnectedAt)
                        .orElse(0L);
        return mayExit
                || superseded(sidecar)
                || disconnectedAt < mState.mNow - Timing.ROSTER_GRACE_MILLIS;
    }

    private RosterMember retire(OwnedPartition partition, NodeId sidecar) {
        long newestIdMillis =
                partition.mSealedAt.containsKey(sidecar)
                        ? partition.newestIdMillis(sidecar)
                        : partition.mUnsealedIdBounds.getOrDefault(
                                sidecar, partition.mInDoubtUntil);
        return new RosterMember(sidecar, mState.mNow, newestIdMillis);
    }

    /** Releases the leaving sidecars that are ready to exit and no longer in use in the roster. */
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

    /** Asks every sealed and connected sidecar of the partition to confirm the lease. */
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
