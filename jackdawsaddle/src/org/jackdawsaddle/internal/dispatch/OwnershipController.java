package org.jackdawsaddle.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.EntryMessage.RenewLease;
import org.jackdawsaddle.internal.message.EntryMessage.Seal;
import org.jackdawsaddle.internal.message.SidecarMessage.LeaseRenewed;
import org.jackdawsaddle.internal.message.SidecarMessage.Sealed;

/**
 * Holds the partitions of this entry: seals the sidecars after a claim, renews the lease and keeps
 * the roster in the store.
 *
 * <p>A new owner acts only after every sidecar of the roster has sealed the partition, or after a
 * majority has and the lease of the previous owner must have run out.
 */
final class OwnershipController {
    private static final long ROUND_PAUSE_MILLIS = 5;
    private static final long SEAL_REPEAT_MILLIS = 200;

    private final EntryBoard mBoard;
    private final Map<OwnedPartition, Long> mSealedLast = new HashMap<>();
    private final Map<OwnedPartition, Long> mSealRepeatAt = new HashMap<>();

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
        sidecar.mLatestStamp = sealed.stamp();
        partition.mSealedAt.putIfAbsent(sidecar.node(), mBoard.mNow);
        mSealedLast.put(partition, mBoard.mNow);
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
            sidecar.mLatestStamp = renewed.stamp();
            activateStamps(partition);
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
            maintainRoster(partition);
            renewIfDue(partition);
        }
        return activated;
    }

    /** Takes the store's word that a change of the roster is in force. */
    void onRecordConfirmed(OwnedPartition partition, PartitionRecord record, long version) {
        partition.confirm(record, version);
    }

    private void write(OwnedPartition partition, PartitionRecord record) {
        partition.mPending = Optional.of(record);
        mBoard.mOutbox.write(
                StoreKeys.partition(partition.mIndex),
                partition.mVersion,
                record,
                Optional.empty());
    }

    /** Repeats a write of the roster that the store has not answered. */
    void rewrite(OwnedPartition partition) {
        partition.mPending.ifPresent(record -> write(partition, record));
    }

    private void seal(OwnedPartition partition, SidecarView sidecar) {
        if (sidecar.mConnected && sidecar.mSealedEpoch != partition.mEpoch) {
            mBoard.mOutbox.send(sidecar.node(), new Seal(partition.mIndex, partition.mEpoch));
        }
    }

    private void repeatSeals(OwnedPartition partition) {
        if (mBoard.mNow < mSealRepeatAt.getOrDefault(partition, 0L)) {
            return;
        }
        mSealRepeatAt.put(partition, mBoard.mNow + SEAL_REPEAT_MILLIS);
        begin(partition);
    }

    private boolean activateIfSealed(OwnedPartition partition) {
        Collection<NodeId> members = partition.inUse();
        List<NodeId> sealed = members.stream().filter(partition.mSealedAt::containsKey).toList();
        List<NodeId> dead = members.stream().filter(this::superseded).toList();
        int settled = sealed.size() + dead.size();
        long lastSeal = mSealedLast.getOrDefault(partition, mBoard.mNow);
        boolean hadOwner = partition.mHadOwner;
        if (settled >= members.size()) {
            long wait = hadOwner && !members.isEmpty() ? Timing.REFUSAL_LEASE_MILLIS : 0;
            return mBoard.mNow >= lastSeal + wait && activate(partition);
        }
        if (settled >= OwnedPartition.majority(members)) {
            long wait = Timing.LEASE_MILLIS + Timing.LEASE_SLACK_MILLIS;
            if (mBoard.mNow < lastSeal + wait) {
                return false;
            }
            return activate(partition);
        }
        return false;
    }

    private boolean activate(OwnedPartition partition) {
        boolean majority =
                partition.inUse().stream().filter(partition.mSealedAt::containsKey).count()
                        >= OwnedPartition.majority(partition.inUse());
        long promised = partition.mNewestRenewal + Timing.ID_HORIZON_MILLIS;
        for (RosterMember member : partition.record().roster()) {
            if (!partition.mSealedAt.containsKey(member.sidecar())) {
                long horizon = latestStart(member);
                long bound = majority ? Math.min(horizon, promised) : horizon;
                partition.mUnknowableUntil = Math.max(partition.mUnknowableUntil, bound);
            }
        }
        partition.mDoubtUntil = Math.max(partition.mDoubtUntil, partition.mUnknowableUntil);
        partition.mPhase = OwnedPartition.Phase.ACTIVE;
        partition.mActiveSince = mBoard.mNow;
        return true;
    }

    /** Returns the newest timestamp that an id started on the member can have, by the clocks. */
    private long latestStart(RosterMember member) {
        long until = mBoard.mNow;
        if (!member.inUse()) {
            until = member.unusedSince();
        } else if (superseded(member.sidecar())) {
            until = successorStart(member.sidecar());
        }
        return until + Timing.CLOCK_TOLERANCE_MILLIS + Timing.ID_AHEAD_MILLIS;
    }

    private boolean superseded(NodeId member) {
        return successors(member).findAny().isPresent();
    }

    private long successorStart(NodeId member) {
        return successors(member).mapToLong(view -> view.mHello.startedAt()).max().orElse(0);
    }

    private Stream<SidecarView> successors(NodeId member) {
        return mBoard.mSidecars.values().stream()
                .filter(view -> view.mConnected && view.node().supersedes(member));
    }

    private void maintainRoster(OwnedPartition partition) {
        if (partition.mPending.isPresent()) {
            return;
        }
        List<RosterMember> roster = new ArrayList<>();
        for (RosterMember member : partition.record().roster()) {
            maintain(member).ifPresent(roster::add);
        }
        for (SidecarView sidecar : mBoard.sidecarsOf(partition)) {
            boolean usable = sidecar.mConnected && sidecar.mSealedEpoch == partition.mEpoch;
            if (usable && !partition.mayUse(sidecar.node())) {
                roster.removeIf(member -> member.sidecar().equals(sidecar.node()));
                roster.add(new RosterMember(sidecar.node(), 0));
            }
        }
        if (!roster.equals(partition.record().roster())) {
            write(partition, partition.record().withRoster(roster));
        }
    }

    /** Returns the member as it should stand in the roster, or empty if it can be dropped. */
    private Optional<RosterMember> maintain(RosterMember member) {
        if (member.inUse()) {
            long lostAt =
                    mBoard.sidecar(member.sidecar())
                            .map(view -> view.mConnected ? Long.MAX_VALUE : view.mDisconnectedAt)
                            .orElse(0L);
            boolean gone =
                    superseded(member.sidecar())
                            || lostAt < mBoard.mNow - Timing.ROSTER_GRACE_MILLIS;
            return Optional.of(gone ? new RosterMember(member.sidecar(), mBoard.mNow) : member);
        }
        long memory = Timing.ID_LIFETIME_MILLIS + 2 * Timing.CLOCK_TOLERANCE_MILLIS;
        return mBoard.mNow > member.unusedSince() + memory ? Optional.empty() : Optional.of(member);
    }

    private void renewIfDue(OwnedPartition partition) {
        boolean due = mBoard.mNow >= partition.mLastRound + Timing.LEASE_RENEWAL_MILLIS;
        boolean wanted =
                mBoard.mNow >= partition.mLastRound + ROUND_PAUSE_MILLIS
                        && (!partition.mRefusals.isEmpty() || stampWanted(partition));
        if (due || wanted) {
            round(partition);
        }
    }

    private boolean stampWanted(OwnedPartition partition) {
        return mBoard.sidecarsOf(partition).stream()
                .anyMatch(view ->
                        view.mConnected
                                && view.mActiveStamp == 0
                                && view.mLatestStamp > 0
                                && partition.mayUse(view.node()));
    }

    /** Asks every sidecar of the partition to confirm the lease. */
    void round(OwnedPartition partition) {
        partition.mLastRound = Math.max(mBoard.mNow, partition.mLastRound + 1);
        for (SidecarView sidecar : mBoard.sidecarsOf(partition)) {
            if (!sidecar.mConnected || sidecar.mSealedEpoch != partition.mEpoch) {
                continue;
            }
            if (sidecar.mCandidateRound == 0) {
                sidecar.mCandidateStamp = sidecar.mLatestStamp;
                sidecar.mCandidateRound = partition.mLastRound;
            }
            mBoard.mOutbox.send(
                    sidecar.node(),
                    new RenewLease(partition.mIndex, partition.mEpoch, partition.mLastRound));
        }
    }

    /** A stamp may be echoed once a majority has confirmed the lease after it arrived. */
    private void activateStamps(OwnedPartition partition) {
        long confirmed = partition.confirmedAt(mBoard.mNow);
        for (SidecarView sidecar : mBoard.sidecarsOf(partition)) {
            if (sidecar.mCandidateRound > 0 && confirmed >= sidecar.mCandidateRound) {
                sidecar.mActiveStamp = sidecar.mCandidateStamp;
                sidecar.mCandidateRound = 0;
            }
        }
    }
}
