package org.jackdawsaddle.internal.pool;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage;

/**
 * Tells the other entries which jobs have ended here and may still be started by a target: the
 * caller may send such a job to an entry that cannot reach the sidecar of the run.
 */
final class UnsettledJobsController {
    private final PoolEntryState mState;
    private final PeerController mPeers;

    /** What the other entries were last told. */
    private Set<String> mSent = Set.of();

    UnsettledJobsController(PoolEntryState state, PeerController peers) {
        mState = state;
        mPeers = peers;
    }

    /** Tells the other entries if the jobs have changed. */
    void onTick() {
        Set<String> unsettled = unsettled();
        if (!unsettled.equals(mSent)) {
            mSent = unsettled;
            mPeers.sendToAll(message());
        }
    }

    /** Tells an entry that has connected. */
    void onPeerConnected(NodeId peer) {
        if (!mSent.isEmpty()) {
            mPeers.send(peer, message());
        }
    }

    private PoolMessage message() {
        return new PoolMessage.UnsettledJobs(List.copyOf(mSent));
    }

    private Set<String> unsettled() {
        if (mState.mStoppingRunCounts.isEmpty()) {
            return Set.of();
        }
        Set<String> jobs = new TreeSet<>();
        for (SidecarView sidecar : mState.mSidecars.values()) {
            for (PlacedRun placed : sidecar.mPlacedRuns.values()) {
                if (stopOverdue(placed) && sidecar.mayStartLater(placed)) {
                    jobs.add(placed.mTask.mJob.mJob.id());
                }
            }
        }
        return jobs;
    }

    private boolean stopOverdue(PlacedRun placed) {
        return placed.mTask.mJob.mEnded
                && mState.mNow - placed.mStopRequestedAt >= PoolTiming.STOP_TIMEOUT_MILLIS;
    }
}
