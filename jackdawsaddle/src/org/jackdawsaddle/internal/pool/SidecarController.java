package org.jackdawsaddle.internal.pool;

import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.internal.message.PoolMessage.TaskReport;
import org.jackdawsaddle.internal.target.FailureRatios;
import org.jackdawsaddle.internal.target.SpeedModel;

/** Tracks the connections to sidecars, and handles their reports on the runs placed there. */
final class SidecarController {
    /** For how long a sidecar gets no tasks after its target has rejected a start. */
    private static final long REJECTED_BACKOFF_MILLIS = 300;

    /** For how long a sidecar gets no tasks after it has refused a start itself. */
    private static final long REFUSED_BACKOFF_MILLIS = 5;

    /** A target is not at fault if this share of the queue's runs or more fails elsewhere. */
    private static final double MAX_FAILURE_RATIO_ELSEWHERE = 0.5;

    /**
     * Added to the run number of a task after a target has refused it as lower than one that it has
     * seen; added again until the target accepts the number.
     */
    private static final int RUN_NUMBER_SKIP = 16;

    private final PoolEntryState mState;
    private final JobController mJobs;
    private final SpeedModel mSpeeds;
    private final long mGoneAfterMillis;
    private final FailureRatios mFailureRatios = new FailureRatios();
    private final StallDetector mStallDetector;
    private long mLastTickAt;

    SidecarController(
            PoolEntryState state, JobController jobs, SpeedModel speeds, long leaseMillis) {
        mState = state;
        mJobs = jobs;
        mSpeeds = speeds;
        mStallDetector = new StallDetector(state);
        mGoneAfterMillis = PoolTiming.goneAfterMillis(leaseMillis);
    }

    /**
     * Records a sidecar or a change of its target. On a new connection the sidecar is asked for the
     * state of each run placed there, and stops are repeated, as the lost connection may not have
     * delivered the last messages in either direction.
     */
    void onAnnounced(PoolMessage.Hello hello) {
        SidecarView sidecar =
                mState.mSidecars.computeIfAbsent(hello.sidecar(), node -> new SidecarView(hello));
        sidecar.mHello = hello;
        sidecar.mConfigurationVersion = hello.configurationVersion();
        if (!sidecar.mConnected) {
            EventLog.line(Event.SIDECAR_CONNECTED)
                    .with("sidecar", hello.sidecar())
                    .with("target", hello.target())
                    .with("runs", sidecar.mPlacedRuns.size())
                    .write();
            sidecar.onConnected(mState.mNow);
            mState.mMembersVersion++;
            otherIncarnations(sidecar.node()).forEach(other -> other.mConnected = false);
            mState.send(sidecar, new PoolMessage.Resume(List.copyOf(sidecar.mPlacedRuns.keySet())));
            mState.repeatStops(sidecar);
            if (hello.configurationVersion() > mState.mConfiguration.version()) {
                // The answer contains the newer configuration.
                mState.ping(sidecar);
            }
        }
        sidecar.onHeard(mState.mNow);
    }

    /**
     * Updates the free capacity of a sidecar. A sidecar serves only after it has made sure that no
     * run ordered by one of its earlier incarnations is left, so those are forgotten then.
     */
    private void onRoom(SidecarView sidecar, PoolMessage.Room room) {
        boolean startsServing = room.serving() && !sidecar.reportedServing();
        sidecar.onRoom(room);
        if (startsServing) {
            mState.mTimeline.recordSidecarServing();
            otherIncarnations(sidecar.node())
                    .forEach(other ->
                            forget(other, "replaced", PoolEntryCounter.RUNS_SIDECAR_REPLACED));
        }
    }

    private List<SidecarView> otherIncarnations(NodeId node) {
        return mState.mSidecars.values().stream()
                .filter(sidecar -> node.isOtherIncarnationOf(sidecar.node()))
                .toList();
    }

    void onLost(NodeId node) {
        SidecarView sidecar = mState.mSidecars.get(node);
        if (sidecar != null && sidecar.mConnected) {
            mState.count(PoolEntryCounter.SIDECARS_LOST);
            EventLog.line(Event.SIDECAR_LOST)
                    .with("sidecar", node)
                    .with("silent_ms", sidecar.silentMillis(mState.mNow))
                    .with("runs", sidecar.mPlacedRuns.size())
                    .write();
            sidecar.mConnected = false;
            mState.mMembersVersion++;
        }
    }

    void onReceived(NodeId node, PoolMessage message) {
        SidecarView sidecar = mState.mSidecars.get(node);
        if (sidecar == null || !sidecar.mConnected) {
            return;
        }
        sidecar.onHeard(mState.mNow);
        switch (message) {
            case PoolMessage.Room room -> onRoom(sidecar, room);
            case PoolMessage.TaskReports reports -> {
                recordCrashes(sidecar, reports.reports());
                reports.reports().forEach(report -> onReport(sidecar, report));
            }
            default ->
                    throw new IllegalArgumentException(
                            "Unexpected message from a sidecar: " + message);
        }
        mJobs.requestDispatch();
    }

    private void onReport(SidecarView sidecar, TaskReport report) {
        if (report.kind() == ReportKind.HELD) {
            return;
        }
        if (report.kind() == ReportKind.SUSPECTED) {
            mJobs.giveUpIfDeadly(report.run().task());
            return;
        }
        Optional<PlacedRun> removed = mJobs.removeRun(sidecar, report.run());
        if (removed.isEmpty()) {
            return;
        }
        PlacedRun placed = removed.get();
        switch (report.kind()) {
            case HELD, SUSPECTED -> throw new IllegalStateException(report.kind() + " ends no run");
            case DONE -> onDone(sidecar, placed);
            case FAILED -> onFailed(sidecar, placed);
            case ENDED -> {
                mState.count(PoolEntryCounter.TASKS_CUT_OFF);
                mState.mDurations.recordEnded(placed, "cut-off", mState.mNow);
                logRetry(sidecar, placed, "cut off");
                mJobs.requeue(placed);
            }
            case CRASHED -> onCrashed(sidecar, placed);
            case NO_ROOM, NOT_SERVING ->
                    onNotStarted(sidecar, placed, report.kind(), REFUSED_BACKOFF_MILLIS);
            case REJECTED -> onNotStarted(sidecar, placed, report.kind(), REJECTED_BACKOFF_MILLIS);
            case OUTDATED -> {
                placed.mTask.mLastRunNumber += RUN_NUMBER_SKIP;
                mJobs.requeue(placed);
            }
        }
    }

    private void onDone(SidecarView sidecar, PlacedRun placed) {
        mState.mDurations.recordEnded(placed, "done", mState.mNow);
        mState.count(PoolEntryCounter.TASKS_DONE);
        String queue = placed.mTask.mJob.mQueue.name();
        sidecar.mLastDoneAt = mState.mNow;
        sidecar.mHealth.recordSuccess();
        mFailureRatios.recordOutcome(sidecar.node(), queue, 0);
        if (!placed.mStopRequested) {
            mSpeeds.observe(
                    sidecar.mSpeed,
                    queue,
                    placed.mTask.mStep.expectedMillis(),
                    mState.mNow - placed.mPlacedAt);
        }
        mJobs.onTaskDone(placed);
    }

    private void onFailed(SidecarView sidecar, PlacedRun placed) {
        mState.mDurations.recordEnded(placed, "failed", mState.mNow);
        mState.count(PoolEntryCounter.TASKS_FAILED);
        TaskState task = placed.mTask;
        String queue = task.mJob.mQueue.name();
        boolean targetAtFault =
                mFailureRatios.meanRatioElsewhere(sidecar.node(), queue)
                        < MAX_FAILURE_RATIO_ELSEWHERE;
        mFailureRatios.recordOutcome(sidecar.node(), queue, 1);
        task.mFailedAt.add(sidecar.node());
        if (sidecar.mHealth.recordFailure(task.mJob.mJob.id(), targetAtFault, mState.mNow)) {
            mState.count(PoolEntryCounter.PROBATIONS);
            EventLog.line(Event.TARGET_BARRED)
                    .with("target", sidecar.mHello.target())
                    .with("job", task.mJob.mJob.id())
                    .with("queue", queue)
                    .write();
        }
        logRetry(sidecar, placed, "failed");
        mJobs.onTaskFailed(placed);
    }

    /** Records the tasks under which the target may have crashed, of this entry and of others. */
    private void recordCrashes(SidecarView sidecar, List<TaskReport> reports) {
        reports.stream()
                .filter(report -> report.kind() == ReportKind.SUSPECTED)
                .forEach(report -> recordCrash(sidecar, report.run().task(), report.queue()));
    }

    private void recordCrash(SidecarView sidecar, String task, String queue) {
        boolean added =
                mState.mQuarantine.recordCrash(task, queue, sidecar.node().name(), mState.mNow);
        if (added) {
            EventLog.line(Event.TASK_SUSPECTED)
                    .with("job", TaskNames.jobOf(task))
                    .with("task", task)
                    .with("queue", queue)
                    .with("target", sidecar.mHello.target())
                    .with("crashes", mState.mQuarantine.crashes(task))
                    .with("given_up", mState.mQuarantine.givenUp(task))
                    .write();
        }
    }

    private void onCrashed(SidecarView sidecar, PlacedRun placed) {
        mState.count(PoolEntryCounter.TASKS_CRASHED);
        mState.mDurations.recordEnded(placed, "crashed", mState.mNow);
        logRetry(sidecar, placed, "crashed");
        mJobs.requeue(placed);
    }

    private void logRetry(SidecarView sidecar, PlacedRun placed, String outcome) {
        if (!placed.mStopRequested) {
            EventLog.line(Event.TASK_RETRIED)
                    .with("job", placed.mTask.mJob.mJob.id())
                    .with("task", placed.mRun.task())
                    .with("run", placed.mRun.run())
                    .with("target", sidecar.mHello.target())
                    .with("outcome", outcome)
                    .with("ms", mState.mNow - placed.mPlacedAt)
                    .write();
        }
    }

    private void onNotStarted(
            SidecarView sidecar, PlacedRun placed, ReportKind kind, long backoffMillis) {
        EventLog.line(Event.RUN_NOT_STARTED)
                .with("job", placed.mTask.mJob.mJob.id())
                .with("task", placed.mRun.task())
                .with("run", placed.mRun.run())
                .with("target", sidecar.mHello.target())
                .with("reason", kind)
                .write();
        mState.count(PoolEntryCounter.TASKS_NOT_STARTED);
        sidecar.mBackoffUntil = Math.max(sidecar.mBackoffUntil, mState.mNow + backoffMillis);
        mJobs.requeue(placed);
    }

    void onTick() {
        discountOwnPause();
        for (SidecarView sidecar : List.copyOf(mState.mSidecars.values())) {
            sidecar.onTick(mState.mNow);
            if (sidecar.mConnected && sidecar.connectionTimedOut(mState.mNow)) {
                mState.mActions.add(new PoolEntryAction.DisconnectSidecar(sidecar.node()));
                onLost(sidecar.node());
            }
            if (!sidecar.mConnected && sidecar.silentMillis(mState.mNow) > mGoneAfterMillis) {
                endRunsOfSilent(sidecar);
            } else if (sidecar.mConnected) {
                mStallDetector.check(sidecar);
            }
            if (sidecar.heartbeatDue(mState.mNow)) {
                mState.ping(sidecar);
            }
        }
    }

    /**
     * Excludes a pause of this process, or a jump of its clock, from the time since the last
     * message of each sidecar: messages may have arrived unread meanwhile.
     */
    private void discountOwnPause() {
        long lateMillis = mState.mNow - mState.mNextTickAt;
        if (mLastTickAt > 0 && lateMillis > PoolTiming.PAUSE_THRESHOLD_MILLIS) {
            long pauseMillis = mState.mNow - mLastTickAt;
            mState.mSidecars
                    .values()
                    .forEach(sidecar -> sidecar.discountPause(pauseMillis, mState.mNow));
        }
        mLastTickAt = mState.mNow;
    }

    /**
     * Ends the runs of a sidecar that has been silent for long, but for those that its target may
     * still start: only the sidecar, or a new process of it, tells what becomes of these. Removes
     * the sidecar once none is left.
     */
    private void endRunsOfSilent(SidecarView sidecar) {
        List<Run> kept =
                sidecar.mPlacedRuns.values().stream()
                        .filter(sidecar::mayStartLater)
                        .map(placed -> placed.mRun)
                        .toList();
        boolean ordersExpired = sidecar.silentMillis(mState.mNow) > PoolTiming.ORDER_EXPIRY_MILLIS;
        if (kept.isEmpty() || ordersExpired) {
            forget(sidecar, "silent", PoolEntryCounter.RUNS_SIDECAR_SILENT);
            return;
        }
        if (sidecar.markRunsKept()) {
            EventLog.line(Event.RUN_KEPT)
                    .with("sidecar", sidecar.node())
                    .with("runs", kept)
                    .write();
        }
        List<Run> ended =
                sidecar.mPlacedRuns.keySet().stream().filter(run -> !kept.contains(run)).toList();
        endRuns(sidecar, ended, PoolEntryCounter.RUNS_SIDECAR_SILENT);
    }

    /** Makes the tasks of runs wait again that count as ended. */
    private void endRuns(SidecarView sidecar, List<Run> runs, PoolEntryCounter counter) {
        for (Run run : runs) {
            mState.count(counter);
            mJobs.removeRun(sidecar, run).ifPresent(mJobs::requeue);
        }
    }

    /**
     * Removes a sidecar whose runs count as ended, and makes their tasks wait again.
     *
     * @param reason why they have, for the log
     * @param counter the counter of runs that end for this reason
     */
    private void forget(SidecarView sidecar, String reason, PoolEntryCounter counter) {
        EventLog.line(Event.SIDECAR_GONE)
                .with("sidecar", sidecar.node())
                .with("reason", reason)
                .with("silent_ms", sidecar.silentMillis(mState.mNow))
                .with("runs", sidecar.mPlacedRuns.keySet())
                .write();
        endRuns(sidecar, List.copyOf(sidecar.mPlacedRuns.keySet()), counter);
        mState.mSidecars.remove(sidecar.node());
        mFailureRatios.remove(sidecar.node());
    }
}
