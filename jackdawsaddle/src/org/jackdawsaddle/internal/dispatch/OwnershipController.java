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
 * Holds the partitions of this entry: seals the sidecars after a claim, renews the lease and keeps
 * the roster in the store.
 */
final class OwnershipController {
    private static final long ROUND_PAUSE_MILLIS = 25;
    private static final long ROSTER_CHECK_MILLIS = 60;
    private static final long SEAL_REPEAT_MILLIS = 200;

    private final EntryBoard mBoard;

    OwnershipController(EntryBoard board) {
        mBoard = board;
    }

    /** Starts the takeover of a partition that the store says is this entry's. */
    void begin(OwnedPartition partition) {
        for (SidecarView sidecar : mBoard.sidecarsOf(partition)) {
            seal(partition, sidecar);
        }
    }

    void onAnnounced(OwnedPartition partition, SidecarView sidecar) {
        seal(partition, sidecar);
    }

    /** Takes a seal; returns false if another owner has sealed the partition. */
    boolean onSealed(OwnedPartition partition, SidecarView sidecar, Sealed sealed) {
        if (sealed.epoch() > partition.mEpoch) {
            return false;
        }
        if (sealed.epoch() < partition.mEpoch) {
            return true;
        }
        sidecar.mSealedEpoch = sealed.epoch();
        partition.noteStarted(sidecar.node(), sealed.newestIdMillis());
        partition.mSealedAt.putIfAbsent(sidecar.node(), mBoard.mNow);
        partition.mLastSealAt = mBoard.mNow;
        if (!partition.active()) {
            partition.mDoubtUntil = Math.max(partition.mDoubtUntil, sealed.newestIdMillis());
            partition.mNewestRenewal = Math.max(partition.mNewestRenewal, sealed.newestRenewal());
        }
        return true;
    }

    /** Takes a renewal; returns false if another owner has sealed the partition. */
    boolean onRenewed(OwnedPartition partition, SidecarView sidecar, LeaseRenewed renewed) {
        if (renewed.epoch() > partition.mEpoch) {
            return false;
        }
        if (renewed.epoch() == partition.mEpoch) {
            partition.grant(sidecar.node(), renewed.sentAt());
        }
        return true;
    }

    /** Moves the takeover, the lease and the roster on; returns whether it became active now. */
    boolean onTick(OwnedPartition partition) {
        boolean activated = false;
        repeatSeals(partition);
        if (!partition.active()) {
            activated = activateIfSealed(partition);
        }
        if (partition.active()) {
            if (mBoard.mNow >= partition.mRosterCheckAt) {
                partition.mRosterCheckAt = mBoard.mNow + ROSTER_CHECK_MILLIS;
                maintainRoster(partition);
                releaseLeaving(partition);
                partition.mRosterIncomplete = rosterIncomplete(partition);
            }
            renewIfDue(partition);
        }
        return activated;
    }

    /** Takes the store's word that a change of the roster is in force. */
    void onRecordConfirmed(OwnedPartition partition, PartitionRecord record, long version) {
        partition.confirm(record, version);
    }

    private void write(OwnedPartition partition, PartitionRecord record) {
        partition.await(record);
        mBoard.mOutbox.write(
                StoreKeys.partition(partition.mIndex),
                partition.mVersion,
                record,
                Optional.empty());
    }

    /** Repeats a write of the roster that the store has not answered. */
    void rewrite(OwnedPartition partition) {
        partition.pending().ifPresent(record -> write(partition, record));
    }

    private void seal(OwnedPartition partition, SidecarView sidecar) {
        if (sidecar.mConnected && sidecar.mSealedEpoch != partition.mEpoch) {
            mBoard.mOutbox.send(sidecar.node(), new Seal(partition.mIndex, partition.mEpoch));
        }
    }

    private void repeatSeals(OwnedPartition partition) {
        if (mBoard.mNow < partition.mSealRepeatAt) {
            return;
        }
        partition.mSealRepeatAt = mBoard.mNow + SEAL_REPEAT_MILLIS;
        begin(partition);
    }

    /**
     * A majority is enough: what the former owner can still start elsewhere has an id that some
     * sidecar of the majority knows the bound of.
     */
    private boolean activateIfSealed(OwnedPartition partition) {
        Collection<NodeId> members = partition.inUse();
        long settled =
                members.stream()
                        .filter(member ->
                                partition.mSealedAt.containsKey(member) || superseded(member))
                        .count();
        if (!members.isEmpty() && settled < OwnedPartition.majority(members)) {
            return false;
        }
        boolean refusalsPossible = partition.mHadOwner && !members.isEmpty();
        long wait = refusalsPossible ? Timing.REFUSAL_LEASE_MILLIS : 0;
        if (mBoard.mNow < partition.mLastSealAt + wait) {
            return false;
        }
        activate(partition);
        return true;
    }

    private void activate(OwnedPartition partition) {
        for (RosterMember member : partition.record().roster()) {
            if (!partition.mSealedAt.containsKey(member.sidecar())) {
                long bound = newestStart(partition, member);
                partition.mUnsealed.put(member.sidecar(), bound);
                partition.mDoubtUntil = Math.max(partition.mDoubtUntil, bound);
            }
        }
        partition.mPhase = OwnedPartition.Phase.ACTIVE;
        partition.mActiveSince = mBoard.mNow;
    }

    /** Returns the newest timestamp of an id that may have been started on the member. */
    private long newestStart(OwnedPartition partition, RosterMember member) {
        if (!member.inUse()) {
            return member.newestIdMillis();
        }
        long sealed = partition.inUse().stream().filter(partition.mSealedAt::containsKey).count();
        if (sealed >= OwnedPartition.majority(partition.inUse())) {
            return partition.mNewestRenewal + Timing.ID_HORIZON_MILLIS;
        }
        long until = superseded(member.sidecar()) ? successorStart(member.sidecar()) : mBoard.mNow;
        return until + Timing.CLOCK_TOLERANCE_MILLIS + Timing.ID_HORIZON_MILLIS;
    }

    private boolean superseded(NodeId member) {
        return mBoard.successor(member).isPresent();
    }

    private long successorStart(NodeId member) {
        return mBoard.successor(member).map(view -> view.mHello.startedAt()).orElse(0L);
    }

    /** Returns whether a sidecar waits to be sealed or to be taken into the roster. */
    private boolean rosterIncomplete(OwnedPartition partition) {
        return mBoard.sidecarsOf(partition).stream()
                .anyMatch(view ->
                        view.mConnected
                                && !(partition.mayUse(view.node())
                                        && partition.granted(view.node())));
    }

    private void maintainRoster(OwnedPartition partition) {
        if (partition.pending().isPresent()) {
            return;
        }
        List<RosterMember> roster = new ArrayList<>();
        for (RosterMember member : partition.record().roster()) {
            maintain(partition, member).ifPresent(roster::add);
        }
        for (SidecarView sidecar : mBoard.sidecarsOf(partition)) {
            boolean usable = sidecar.mConnected && sidecar.mSealedEpoch == partition.mEpoch;
            if (usable && !sidecar.mHello.leaving() && !partition.mayUse(sidecar.node())) {
                roster.removeIf(member -> member.sidecar().equals(sidecar.node()));
                roster.add(RosterMember.used(sidecar.node()));
            }
        }
        if (!roster.equals(partition.record().roster())) {
            write(partition, partition.record().withRoster(roster));
        }
    }

    /** Returns the member as it should stand in the roster, or empty if it can be dropped. */
    private Optional<RosterMember> maintain(OwnedPartition partition, RosterMember member) {
        if (member.inUse()) {
            return Optional.of(
                    abandoned(member.sidecar()) ? unused(partition, member.sidecar()) : member);
        }
        long memory = Timing.ID_LIFETIME_MILLIS + 2 * Timing.CLOCK_TOLERANCE_MILLIS;
        return mBoard.mNow > member.unusedSince() + memory ? Optional.empty() : Optional.of(member);
    }

    /** Returns whether nothing is to be started on a member of the roster any more. */
    private boolean abandoned(NodeId sidecar) {
        Optional<SidecarView> view = mBoard.sidecar(sidecar);
        boolean released = view.filter(SidecarView::doneLeaving).isPresent();
        long lostAt =
                view.map(lost -> lost.mConnected ? Long.MAX_VALUE : lost.mDisconnectedAt)
                        .orElse(0L);
        return released || superseded(sidecar) || lostAt < mBoard.mNow - Timing.ROSTER_GRACE_MILLIS;
    }

    private RosterMember unused(OwnedPartition partition, NodeId sidecar) {
        long newestIdMillis =
                partition.mSealedAt.containsKey(sidecar)
                        ? partition.newestStarted(sidecar)
                        : partition.mUnsealed.getOrDefault(sidecar, partition.mDoubtUntil);
        return new RosterMember(sidecar, mBoard.mNow, newestIdMillis);
    }

    /** Lets the sidecars end that wait for it and are out of the roster. */
    private void releaseLeaving(OwnedPartition partition) {
        for (SidecarView sidecar : mBoard.sidecarsOf(partition)) {
            boolean out =
                    sidecar.mSealedEpoch == partition.mEpoch
                            && !partition.inUse().contains(sidecar.node());
            if (out && sidecar.doneLeaving()) {
                mBoard.mOutbox.send(
                        sidecar.node(), new Release(partition.mIndex, partition.mEpoch));
            }
        }
    }

    private void renewIfDue(OwnedPartition partition) {
        boolean due = mBoard.mNow >= partition.mLastRound + Timing.LEASE_RENEWAL_MILLIS;
        boolean wanted =
                mBoard.mNow >= partition.mLastRound + ROUND_PAUSE_MILLIS
                        && (!partition.mRefusals.isEmpty() || partition.mRosterIncomplete);
        if (due || wanted) {
            round(partition);
        }
    }

    /** Asks every sidecar of the partition to confirm the lease. */
    void round(OwnedPartition partition) {
        partition.mLastRound = Math.max(mBoard.mNow, partition.mLastRound + 1);
        for (SidecarView sidecar : mBoard.sidecarsOf(partition)) {
            if (!sidecar.mConnected || sidecar.mSealedEpoch != partition.mEpoch) {
                continue;
            }
            mBoard.mOutbox.send(
                    sidecar.node(),
                    new RenewLease(partition.mIndex, partition.mEpoch, partition.mLastRound));
        }
    }
}
