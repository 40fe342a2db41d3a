package org.jackdawsaddle.internal.pool;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.internal.message.PoolMessage.StartTask;
import org.jackdawsaddle.pool.PoolAnswer;
import org.jackdawsaddle.pool.PoolJob;
import org.jackdawsaddle.pool.PoolQueue;

/** Takes jobs in, places their tasks, and decides when and how a job ends. */
final class JobController {
    /** How long a target that a job needs may take to become known. */
    private static final long DISCOVERY_MILLIS = 300;

    /** When the caller of a job that found no room may try again. */
    private static final long RETRY_MILLIS = 1_000;

    /** What targets a task competes for. */
    private record TargetNeed(
            String service, Optional<String> label, boolean accelerated, boolean spread) {
        static TargetNeed of(TaskState task) {
            return new TargetNeed(
                    task.mJob.mQueue.service(),
                    task.mStep.requiredLabel(),
                    task.mStep.demand().accelerators() > 0,
                    task.mStep.maxPerTarget() > 0);
        }
    }

    private final PoolBoard mBoard;
    private final Placement mPlacement;
    private final PoolAdmission mAdmission;
    private final long mResendMillis;
    private final JobAnswers mAnswers;

    JobController(
            PoolBoard board, Placement placement, PoolAdmission admission, long resendMillis) {
        mBoard = board;
        mPlacement = placement;
        mAdmission = admission;
        mResendMillis = resendMillis;
        mAnswers = new JobAnswers(board, placement);
    }

    void submit(long token, PoolJob job) {
        mBoard.count(PoolEntryCounter.JOBS_SUBMITTED);
        ActiveJob active = mBoard.mJobs.get(job.id());
        Optional<PoolAnswer> kept = mAnswers.kept(job.id());
        if (active != null) {
            mBoard.count(PoolEntryCounter.JOBS_JOINED);
            active.mTokens.add(token);
        } else if (kept.isPresent()) {
            mBoard.count(PoolEntryCounter.JOBS_JOINED);
            mAnswers.give(token, kept.get());
        } else if (mBoard.mTime.requestAge() >= mResendMillis) {
            // Its caller may have sent it again meanwhile, to an entry that runs it.
            mAnswers.abandonUnseen(
                    token, job, "may have waited here while this process stood still");
        } else {
            admit(token, job);
        }
    }

    private void admit(long token, PoolJob job) {
        Optional<PoolQueue> queue = mBoard.mConfiguration.queue(job.queue());
        if (queue.isEmpty()) {
            mAnswers.refuse(
                    token, job, new PoolAnswer.Refused("the queue was removed", RETRY_MILLIS));
            return;
        }
        ActiveJob active = new ActiveJob(job, queue.get(), mBoard.mNow, mResendMillis);
        Optional<PoolAnswer> refusal = mAdmission.check(active);
        if (refusal.isPresent()) {
            mAnswers.refuse(token, job, refusal.get());
            return;
        }
        active.mTokens.add(token);
        mBoard.mJobs.put(job.id(), active);
        dispatch();
        if (!active.begun()) {
            refuseIfUseless(active);
        }
    }

    /** Places whatever waits and fits, in the order of the queues' priorities. */
    void dispatch() {
        List<ActiveJob> waiting =
                mBoard.mJobs.values().stream()
                        .filter(ActiveJob::waiting)
                        .filter(job -> !mayStillRun(job.mJob.id()))
                        .sorted(mPlacement.order(mBoard.mNow))
                        .toList();
        Map<SidecarSeat, List<StartTask>> orders = new LinkedHashMap<>();
        Set<TargetNeed> blocked = new HashSet<>();
        waiting.forEach(job -> place(job, orders, blocked));
        orders.forEach((seat, tasks) -> mBoard.send(seat, seat.order(tasks)));
    }

    /** Returns whether tasks of an earlier request of the same id may still run somewhere. */
    private boolean mayStillRun(String id) {
        return mBoard.mLeftovers.containsKey(id)
                || mBoard.mSeats.values().stream().anyMatch(seat -> seat.mOrphans.contains(id));
    }

    /**
     * Places the tasks of a job, but none ahead of an earlier job's that waits for like targets.
     */
    private void place(
            ActiveJob job, Map<SidecarSeat, List<StartTask>> orders, Set<TargetNeed> blocked) {
        for (TaskState task : job.mTasks) {
            TargetNeed need = TargetNeed.of(task);
            if (!job.startable(task) || blocked.contains(need)) {
                continue;
            }
            Optional<SidecarSeat> seat =
                    mPlacement.choose(task, mBoard.mSeats.values(), mBoard.mNow);
            if (seat.isPresent()) {
                place(task, seat.get(), orders);
            } else {
                blocked.add(need);
            }
        }
    }

    private void place(TaskState task, SidecarSeat seat, Map<SidecarSeat, List<StartTask>> orders) {
        mBoard.count(PoolEntryCounter.TASKS_PLACED);
        Run run = task.nextRun();
        mBoard.mDurations.placed(task, mBoard.mNow);
        task.mPhase = TaskState.Phase.PLACED;
        task.mJob.mTargets.add(seat.mHello.target());
        double expected = mPlacement.expectedMillis(task) / seat.mSpeed.speed();
        seat.mPlaced.put(run, new PlacedRun(task, run, mBoard.mNow, expected));
        seat.reserve(task.mStep.demand());
        orders.computeIfAbsent(seat, key -> new ArrayList<>())
                .add(new StartTask(run, task.mJob.mJob.payload(), task.mStep.demand()));
    }

    /** Takes a run out of the books of its seat. */
    Optional<PlacedRun> remove(SidecarSeat seat, Run run) {
        PlacedRun placed = seat.mPlaced.remove(run);
        if (placed == null) {
            return Optional.empty();
        }
        if (placed.mTask.mJob.mEnded) {
            String id = placed.mTask.mJob.mJob.id();
            mBoard.mLeftovers.computeIfPresent(id, (key, n) -> n == 1 ? null : n - 1);
        }
        return Optional.of(placed);
    }

    /** Puts a task back in line. */
    void requeue(PlacedRun placed) {
        if (!placed.mTask.mJob.mEnded && placed.mTask.mPhase == TaskState.Phase.PLACED) {
            placed.mTask.mPhase = TaskState.Phase.WAITING;
        }
    }

    /** Notes that a task ended well. */
    void done(PlacedRun placed) {
        ActiveJob job = placed.mTask.mJob;
        if (!job.mEnded && job.done(placed.mTask)) {
            end(job, new PoolAnswer.Succeeded());
        }
    }

    /** Notes that a task failed; it is tried again as often as its queue allows. */
    void failed(PlacedRun placed) {
        TaskState task = placed.mTask;
        task.mFailures++;
        ActiveJob job = task.mJob;
        if (job.mEnded) {
            return;
        }
        if (task.mFailures >= job.mQueue.maxAttempts()) {
            end(job, new PoolAnswer.Failed("task " + task.mName + " failed at every attempt"));
        } else {
            requeue(placed);
        }
    }

    /** Takes a job back, if it is in hand. */
    void cancel(String id) {
        ActiveJob job = mBoard.mJobs.get(id);
        if (job != null) {
            mBoard.count(PoolEntryCounter.JOBS_CANCELLED);
            end(job, new PoolAnswer.Abandoned("cancelled by the caller"));
        }
    }

    void onTick() {
        mAnswers.forgetOld();
        List.copyOf(mBoard.mJobs.values()).forEach(this::giveUpIfPast);
        dispatch();
    }

    /** Ends a job whose caller has gone, or which has not begun and can be of no more use. */
    private void giveUpIfPast(ActiveJob job) {
        if (job.mJob.deadline() <= mBoard.mNow) {
            String reason = "not done when its caller stopped waiting";
            end(
                    job,
                    job.begun()
                            ? new PoolAnswer.Abandoned(reason)
                            : new PoolAnswer.Refused(reason, RETRY_MILLIS));
        } else if (!job.begun()) {
            giveUpIfHopeless(job);
        }
    }

    private void giveUpIfHopeless(ActiveJob job) {
        if (mAdmission.fits(job)) {
            refuseIfUseless(job);
        } else if (mBoard.mNow - job.mArrivedAt >= DISCOVERY_MILLIS && !mBoard.mTime.settling()) {
            end(job, new PoolAnswer.Failed("a task is larger than every target"));
        }
    }

    private void refuseIfUseless(ActiveJob job) {
        if (!mPlacement.useful(job, mBoard.mNow)) {
            end(job, new PoolAnswer.Refused("waited too long for room", RETRY_MILLIS));
        }
    }

    private void end(ActiveJob job, PoolAnswer answer) {
        job.mEnded = true;
        mBoard.mJobs.remove(job.mJob.id());
        stopRuns(job);
        mAnswers.end(job, answer);
    }

    private void stopRuns(ActiveJob job) {
        for (SidecarSeat seat : mBoard.mSeats.values()) {
            for (PlacedRun placed : seat.mPlaced.values()) {
                if (placed.mTask.mJob == job) {
                    mBoard.mLeftovers.merge(job.mJob.id(), 1, Integer::sum);
                    mBoard.stop(seat, placed);
                }
            }
        }
    }
}
