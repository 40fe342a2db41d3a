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

/** Follows the sidecars and what they report of the runs placed there. */
final class SeatController {
    private static final long REJECTED_PAUSE_MILLIS = 300;
    private static final long FULL_PAUSE_MILLIS = 5;
    private static final double BLAME_RATIO = 0.5;

    /** How far the number of a run is raised after a target has seen a higher one. */
    private static final int RUN_LEAP = 16;

    private final PoolBoard mBoard;
    private final JobController mJobs;
    private final SpeedModel mSpeeds;
    private final long mGoneMillis;
    private final FailureRatios mFailures = new FailureRatios();
    private final StallDetector mStalls;
    private long mTickedAt;

    SeatController(PoolBoard board, JobController jobs, SpeedModel speeds, long leaseMillis) {
        mBoard = board;
        mJobs = jobs;
        mSpeeds = speeds;
        mStalls = new StallDetector(board);
        mGoneMillis = PoolTiming.goneMillis(leaseMillis);
    }

    void onAnnounced(PoolMessage.Hello hello) {
        SidecarSeat seat =
                mBoard.mSeats.computeIfAbsent(hello.sidecar(), node -> new SidecarSeat(hello));
        seat.mHello = hello;
        if (!seat.mConnected) {
            EventLog.line(Event.SIDECAR_CONNECTED)
                    .with("sidecar", hello.sidecar())
                    .with("target", hello.target())
                    .with("runs", seat.mPlaced.size())
                    .write();
            seat.connected(mBoard.mNow);
            olderLives(seat.node()).forEach(older -> older.mConnected = false);
            mBoard.send(seat, new PoolMessage.Resume(List.copyOf(seat.mPlaced.keySet())));
        }
        seat.mHeardAt = mBoard.mNow;
    }

    /** A sidecar serves only after it has made sure that nothing of an earlier life runs. */
    private void onRoom(SidecarSeat seat, PoolMessage.Room room) {
        seat.onRoom(room);
        if (room.serving()) {
            mBoard.mTime.noteServing();
            olderLives(seat.node()).forEach(this::drop);
        }
    }

    private List<SidecarSeat> olderLives(NodeId node) {
        return mBoard.mSeats.values().stream()
                .filter(seat -> node.isOtherIncarnationOf(seat.node()))
                .toList();
    }

    void onLost(NodeId node) {
        SidecarSeat seat = mBoard.mSeats.get(node);
        if (seat != null && seat.mConnected) {
            mBoard.count(PoolEntryCounter.SIDECARS_LOST);
            EventLog.line(Event.SIDECAR_LOST)
                    .with("sidecar", node)
                    .with("silent_ms", mBoard.mNow - seat.mHeardAt)
                    .with("runs", seat.mPlaced.size())
                    .write();
            seat.mConnected = false;
        }
    }

    void onSent(NodeId node, PoolMessage message) {
        SidecarSeat seat = mBoard.mSeats.get(node);
        if (seat == null || !seat.mConnected) {
            return;
        }
        seat.mHeardAt = mBoard.mNow;
        switch (message) {
            case PoolMessage.Room room -> onRoom(seat, room);
            case PoolMessage.TaskReports reports ->
                    reports.reports().forEach(report -> onReport(seat, report));
            default -> throw new IllegalArgumentException("Not from a sidecar: " + message);
        }
        mJobs.dispatch();
    }

    private void onReport(SidecarSeat seat, TaskReport report) {
        if (report.kind() == ReportKind.HELD) {
            return;
        }
        Optional<PlacedRun> removed = mJobs.remove(seat, report.run());
        if (removed.isEmpty()) {
            return;
        }
        PlacedRun placed = removed.get();
        switch (report.kind()) {
            case HELD -> throw new IllegalStateException("Handled above");
            case DONE -> onDone(seat, placed);
            case FAILED -> onFailed(seat, placed);
            case ENDED -> {
                mBoard.count(PoolEntryCounter.TASKS_CUT_OFF);
                mBoard.mDurations.ended(placed, "cut-off", mBoard.mNow);
                logRetry(seat, placed, "cut off");
                mJobs.requeue(placed);
            }
            case NO_ROOM, NOT_SERVING -> notStarted(seat, placed, report.kind(), FULL_PAUSE_MILLIS);
            case REJECTED -> notStarted(seat, placed, report.kind(), REJECTED_PAUSE_MILLIS);
            case OUTDATED -> {
                placed.mTask.mRuns += RUN_LEAP;
                mJobs.requeue(placed);
            }
        }
    }

    private void onDone(SidecarSeat seat, PlacedRun placed) {
        mBoard.mDurations.ended(placed, "done", mBoard.mNow);
        mBoard.count(PoolEntryCounter.TASKS_DONE);
        String queue = placed.mTask.mJob.mQueue.name();
        seat.mLastDoneAt = mBoard.mNow;
        seat.mHealth.recordSuccess();
        mFailures.recordOutcome(seat.node(), queue, 0);
        if (!placed.mStopped) {
            mSpeeds.observe(
                    seat.mSpeed,
                    queue,
                    placed.mTask.mStep.expectedMillis(),
                    mBoard.mNow - placed.mPlacedAt);
        }
        mJobs.done(placed);
    }

    private void onFailed(SidecarSeat seat, PlacedRun placed) {
        mBoard.mDurations.ended(placed, "failed", mBoard.mNow);
        mBoard.count(PoolEntryCounter.TASKS_FAILED);
        TaskState task = placed.mTask;
        String queue = task.mJob.mQueue.name();
        boolean blamable = mFailures.meanRatioElsewhere(seat.node(), queue) < BLAME_RATIO;
        mFailures.recordOutcome(seat.node(), queue, 1);
        task.mFailedAt.add(seat.node());
        if (seat.mHealth.recordFailure(task.mJob.mJob.id(), blamable, mBoard.mNow)) {
            mBoard.count(PoolEntryCounter.PROBATIONS);
            EventLog.line(Event.TARGET_BARRED)
                    .with("target", seat.mHello.target())
                    .with("job", task.mJob.mJob.id())
                    .with("queue", queue)
                    .write();
        }
        logRetry(seat, placed, "failed");
        mJobs.failed(placed);
    }

    private void logRetry(SidecarSeat seat, PlacedRun placed, String outcome) {
        if (!placed.mStopped) {
            EventLog.line(Event.TASK_RETRIED)
                    .with("job", placed.mTask.mJob.mJob.id())
                    .with("task", placed.mRun.task())
                    .with("run", placed.mRun.run())
                    .with("target", seat.mHello.target())
                    .with("outcome", outcome)
                    .with("ms", mBoard.mNow - placed.mPlacedAt)
                    .write();
        }
    }

    private void notStarted(SidecarSeat seat, PlacedRun placed, ReportKind kind, long pauseMillis) {
        EventLog.line(Event.RUN_NOT_STARTED)
                .with("job", placed.mTask.mJob.mJob.id())
                .with("task", placed.mRun.task())
                .with("run", placed.mRun.run())
                .with("target", seat.mHello.target())
                .with("reason", kind)
                .write();
        mBoard.count(PoolEntryCounter.TASKS_NOT_STARTED);
        seat.mAvoidUntil = Math.max(seat.mAvoidUntil, mBoard.mNow + pauseMillis);
        mJobs.requeue(placed);
    }

    void onTick() {
        excuseOwnPause();
        for (SidecarSeat seat : List.copyOf(mBoard.mSeats.values())) {
            seat.onTick();
            long silence = mBoard.mNow - seat.mHeardAt;
            if (seat.mConnected && silence > PoolTiming.SILENCE_MILLIS) {
                mBoard.mActions.add(new PoolEntryAction.DropSidecar(seat.node()));
                onLost(seat.node());
            }
            if (!seat.mConnected && silence > mGoneMillis) {
                drop(seat);
            } else if (seat.mConnected) {
                mStalls.check(seat);
            }
            if (mBoard.mNow - seat.mToldAt >= PoolTiming.PING_MILLIS) {
                mBoard.send(seat, new PoolMessage.Ping(mBoard.mConfiguration.version()));
            }
        }
    }

    /** While this process stood still, or its clock leapt, the silence of others means nothing. */
    private void excuseOwnPause() {
        long pause = mBoard.mNow - mTickedAt;
        if (mTickedAt > 0 && pause > PoolTiming.OWN_PAUSE_MILLIS) {
            mBoard.mSeats
                    .values()
                    .forEach(seat -> seat.mHeardAt = Math.min(mBoard.mNow, seat.mHeardAt + pause));
        }
        mTickedAt = mBoard.mNow;
    }

    private void drop(SidecarSeat seat) {
        EventLog.line(Event.SIDECAR_GONE)
                .with("sidecar", seat.node())
                .with("silent_ms", mBoard.mNow - seat.mHeardAt)
                .with("runs", seat.mPlaced.keySet())
                .write();
        for (Run run : List.copyOf(seat.mPlaced.keySet())) {
            mJobs.remove(seat, run).ifPresent(mJobs::requeue);
        }
        mBoard.mSeats.remove(seat.node());
        mFailures.remove(seat.node());
    }
}
