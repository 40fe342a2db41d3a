package org.jackdawsaddle.internal.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.internal.message.PoolMessage.StartTask;
import org.jackdawsaddle.internal.pool.quarantine.Quarantine;

/** Places the startable tasks of all jobs on sidecars with enough free capacity. */
final class TaskDispatcher {
    /**
     * After so many jobs whose tasks found no target, later jobs with the same needs are left out
     * of a dispatch, which bounds its cost while many jobs wait.
     */
    private static final int MAX_MISSES = 8;

    /** What a task needs of its target. */
    private record TargetRequirement(
            String service,
            Optional<String> label,
            boolean needsAccelerator,
            boolean limitedPerTarget,
            boolean confined,
            boolean suspected) {
        static TargetRequirement of(TaskState task, Quarantine quarantine) {
            return new TargetRequirement(
                    task.mJob.mQueue.service(),
                    task.mStep.requiredLabel(),
                    task.mStep.demand().accelerators() > 0,
                    task.mStep.maxPerTarget() > 0,
                    quarantine.confined(task.mJob.mQueue.name()),
                    quarantine.suspected(task.mName));
        }
    }

    /** The orders and the unsuccessful attempts of one dispatch. */
    private static final class Round {
        final Map<SidecarView, List<StartTask>> mOrders = new LinkedHashMap<>();
        private final Map<TargetRequirement, Integer> mMisses = new HashMap<>();

        boolean exhausted(TargetRequirement requirement) {
            return mMisses.getOrDefault(requirement, 0) >= MAX_MISSES;
        }

        void addMiss(TargetRequirement requirement) {
            mMisses.merge(requirement, 1, Integer::sum);
        }
    }

    private final PoolEntryState mState;
    private final Placement mPlacement;
    private final QueueForecast mForecast;
    private final long mResendMillis;

    /**
     * Creates a dispatcher.
     *
     * @param resendMillis how long a caller without an answer waits before it sends its job again,
     *     in milliseconds
     */
    TaskDispatcher(
            PoolEntryState state, Placement placement, QueueForecast forecast, long resendMillis) {
        mState = state;
        mPlacement = placement;
        mForecast = forecast;
        mResendMillis = resendMillis;
    }

    /**
     * Places tasks in the order of {@link WaitingJob#compareTo}. Leaves out expired jobs, and holds
     * back those that may still have runs of an earlier request or whose callers may have left.
     *
     * @return the jobs that still have tasks to place, in the order of dispatch
     */
    List<WaitingJob> dispatch() {
        List<WaitingJob> waiting = waitingJobs();
        Round round = new Round();
        waiting.forEach(job -> place(job, round));
        round.mOrders.forEach(
                (sidecar, tasks) -> mState.send(sidecar, sidecar.startMessage(tasks)));
        return waiting.stream().filter(job -> job.job().hasStartableTask()).toList();
    }

    private List<WaitingJob> waitingJobs() {
        List<ActiveJob> startable =
                mState.mJobs.values().stream().filter(ActiveJob::hasStartableTask).toList();
        if (startable.isEmpty()) {
            return List.of();
        }
        Set<String> unsettled = unsettledJobs();
        return startable.stream()
                .filter(job -> job.mJob.deadline() > mState.mNow)
                .filter(job -> !mustWait(job, unsettled))
                .map(job -> new WaitingJob(job, mPlacement.late(job, mState.mNow)))
                .sorted()
                .toList();
    }

    /**
     * Returns the jobs of which some sidecar has runs of other entries that should have ended, or
     * of which another entry tells that a target may still start a run.
     */
    private Set<String> unsettledJobs() {
        Set<String> unsettled = new HashSet<>();
        mState.mSidecars.values().forEach(sidecar -> unsettled.addAll(sidecar.mUnsettledJobs));
        mState.mPeerUnsettledJobs.addTo(unsettled, mState.mNow);
        return unsettled;
    }

    /** Returns whether a job must wait, and counts and logs the first time that it does. */
    private boolean mustWait(ActiveJob job, Set<String> unsettled) {
        boolean runsElsewhere = unsettled.contains(job.mJob.id());
        boolean waits =
                runsElsewhere
                        || mState.mStoppingRunCounts.containsKey(job.mJob.id())
                        || mState.mTimeline.callersMayHaveLeft(mResendMillis);
        if (waits && !job.mEverHeldBack) {
            recordHeldBack(job, runsElsewhere);
        }
        return waits;
    }

    private void recordHeldBack(ActiveJob job, boolean runsElsewhere) {
        job.mEverHeldBack = true;
        mState.count(PoolEntryCounter.JOBS_HELD_BACK);
        EventLog.line(Event.JOB_HELD_BACK)
                .with("job", job.mJob.id())
                .with("runs_elsewhere", runsElsewhere)
                .write();
    }

    /** Places the startable tasks of a job, up to the first one that finds no target. */
    private void place(WaitingJob waiting, Round round) {
        for (TaskState task : waiting.job().mTasks) {
            if (!waiting.job().startable(task)) {
                continue;
            }
            TargetRequirement requirement = TargetRequirement.of(task, mState.mQuarantine);
            if (round.exhausted(requirement)) {
                return;
            }
            Optional<SidecarView> sidecar =
                    mPlacement.choose(
                            task, waiting.yields(), mState.mSidecars.values(), mState.mNow);
            if (sidecar.isEmpty()) {
                round.addMiss(requirement);
                mState.mWaitingTask = Optional.of(task);
                return;
            }
            mForecast.recordPlaced(waiting, task, mState.mNow);
            place(task, sidecar.get(), round);
        }
    }

    private void place(TaskState task, SidecarView sidecar, Round round) {
        mState.count(PoolEntryCounter.TASKS_PLACED);
        Run run = task.nextRun();
        mState.mDurations.recordPlaced(task, mState.mNow);
        task.mJob.markPlaced(task);
        task.mJob.mTargets.add(sidecar.mHello.target());
        double expectedMillis = mPlacement.expectedMillis(task) / sidecar.mSpeed.speed();
        sidecar.addRun(new PlacedRun(task, run, mState.mNow, expectedMillis), mState.mNow);
        round.mOrders
                .computeIfAbsent(sidecar, key -> new ArrayList<>())
                .add(
                        new StartTask(
                                run,
                                task.mJob.mQueue.name(),
                                task.mJob.mJob.payload(),
                                task.mStep.demand()));
    }
}
