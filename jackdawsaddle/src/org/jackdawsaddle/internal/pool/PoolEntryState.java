package org.jackdawsaddle.internal.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.EntryLoad;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.internal.pool.evacuation.EvacuationState;
import org.jackdawsaddle.internal.pool.quarantine.Quarantine;
import org.jackdawsaddle.pool.PoolConfiguration;

/** The state that the controllers of a pool entry share; used by the control thread only. */
final class PoolEntryState {
    /** The connected sidecars, and lost ones until their runs count as ended. */
    final Map<NodeId, SidecarView> mSidecars = new LinkedHashMap<>();

    /** The jobs that are admitted and not yet answered, by id. */
    final Map<String, ActiveJob> mJobs = new LinkedHashMap<>();

    /** Number of runs that have not ended though their job has, by job id. */
    final Map<String, Integer> mStoppingRunCounts = new HashMap<>();

    final List<PoolEntryAction> mActions = new ArrayList<>();

    /** The stops to send with the next flush, by sidecar. */
    private final Map<NodeId, Set<Run>> mPendingStops = new LinkedHashMap<>();

    private final long[] mCounts = new long[PoolEntryCounter.values().length];
    PoolConfiguration mConfiguration = PoolConfiguration.NONE;

    /** The names of the other entries to which a connection is open. */
    Set<String> mPeerNames = Set.of();

    /** Increases when a sidecar or another entry connects or is lost. */
    long mMembersVersion;

    /** The sidecars that the entry uses first, whether it watches them now or not. */
    List<SidecarView> mPreferredSidecars = List.of();

    /** When a job was last admitted, in milliseconds since the epoch; 0 for never. */
    long mLastAdmittedAt;

    /** A task that found no free capacity since the watched sidecars were last chosen. */
    Optional<TaskState> mWaitingTask = Optional.empty();

    /**
     * When all jobs must have been answered because the process stops, in milliseconds since the
     * epoch; {@link Long#MAX_VALUE} if it does not.
     */
    long mWorkDeadline = Long.MAX_VALUE;

    /** The time of the current event, in milliseconds since the epoch. */
    long mNow;

    /** When the next tick is due, in milliseconds since the epoch; 0 for at once. */
    long mNextTickAt;

    /** The load that callers put on this entry. */
    EntryLoad mLoad = EntryLoad.UNKNOWN;

    /** The jobs of which other entries tell that a target may still start a run. */
    final PeerUnsettledJobs mPeerUnsettledJobs = new PeerUnsettledJobs();

    final EvacuationState mEvacuation = new EvacuationState();
    final ProcessTimeline mTimeline = new ProcessTimeline();
    final Quarantine mQuarantine = new Quarantine();
    final TaskDurations mDurations = new TaskDurations();

    void advanceTo(long now) {
        mNow = now;
        mTimeline.advanceTo(now, mNextTickAt);
    }

    /** Returns whether the process is about to stop. */
    boolean leaving() {
        return mWorkDeadline < Long.MAX_VALUE;
    }

    void count(PoolEntryCounter counter) {
        mCounts[counter.ordinal()]++;
    }

    long counterValue(PoolEntryCounter counter) {
        return mCounts[counter.ordinal()];
    }

    /** Sends a heartbeat to a sidecar. */
    void ping(SidecarView sidecar) {
        send(
                sidecar,
                new PoolMessage.Ping(
                        mConfiguration.version(),
                        sidecar.watched(),
                        mEvacuation.current().revision()));
    }

    /** Returns a heartbeat to another entry. */
    PoolMessage.Ping peerHeartbeat() {
        return new PoolMessage.Ping(
                mConfiguration.version(),
                false,
                mEvacuation.current().revision(),
                leaving() ? EntryLoad.UNKNOWN : mLoad);
    }

    /** Requests that a message be sent to a sidecar; drops it if the sidecar is not connected. */
    void send(SidecarView sidecar, PoolMessage message) {
        if (sidecar.mConnected) {
            sidecar.mLastSentAt = mNow;
            mActions.add(new PoolEntryAction.SendToSidecar(sidecar.node(), message));
        }
    }

    /**
     * Queues a stop of a run, which keeps its capacity until the sidecar reports its end. The stop
     * waits while the sidecar is not connected, and must be repeated on its next connection.
     */
    void requestStop(SidecarView sidecar, PlacedRun placed) {
        if (!placed.mStopRequested) {
            placed.mStopRequested = true;
            placed.mStopRequestedAt = mNow;
        }
        mPendingStops
                .computeIfAbsent(sidecar.node(), node -> new LinkedHashSet<>())
                .add(placed.mRun);
    }

    /** Queues the stops of a sidecar again that a lost connection may not have delivered. */
    void repeatStops(SidecarView sidecar) {
        sidecar.mPlacedRuns.values().stream()
                .filter(placed -> placed.mStopRequested)
                .forEach(placed -> requestStop(sidecar, placed));
    }

    /** Turns the queued stops into one message for each connected sidecar. */
    void flushStops() {
        mPendingStops.keySet().retainAll(mSidecars.keySet());
        mPendingStops
                .entrySet()
                .removeIf(stops -> {
                    SidecarView sidecar = mSidecars.get(stops.getKey());
                    if (sidecar.mConnected) {
                        send(sidecar, new PoolMessage.Stop(List.copyOf(stops.getValue())));
                    }
                    return sidecar.mConnected;
                });
    }
}
