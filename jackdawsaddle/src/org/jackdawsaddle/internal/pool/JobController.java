package org.jackdawsaddle.internal.pool;

import java.util.ArrayList;
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
import org.jackdawsaddle.pool.PoolAnswer;
import org.jackdawsaddle.pool.PoolJob;
import org.jackdawsaddle.pool.PoolQueue;

/** Takes jobs in, places their tasks and answers their callers. */
final class JobController {
    /** How long an answer is kept for a caller that did not get it and sends the job again. */
    private static final long ANSWER_MILLIS = 10_000;

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

    private record KeptAnswer(PoolAnswer answer, long until) {}

    private final PoolBoard mBoard;
    private final Placement mPlacement;
    private final PoolAdmission mAdmission;
    private final long mResendMillis;
    private final Map<String, KeptAnswer> mAnswers = new LinkedHashMap<>();

    JobController(
            PoolBoard board, Placement placement, PoolAdmission admission, long resendMillis) {
        mBoard = board;
        mPlacement = placement;
        mAdmission = admission;
        mResendMillis = resendMillis;
    }

    void submit(long token, PoolJob job) {
        mBoard.count(PoolEntryCounter.JOBS_SUBMITTED);
        ActiveJob active = mBoard.mJobs.get(job.id());
        KeptAnswer kept = mAnswers.get(job.id());
        if (active != null) {
            mBoard.count(PoolEntryCounter.JOBS_JOINED);
            active.mTokens.add(token);
        } else if (kept != null) {
            mBoard.count(PoolEntryCounter.JOBS_JOINED);
            answer(token, kept.answer());
        } else if (mBoard.mTime.requestAge() >= mResendMillis) {
            abandonStale(token, job);
        } else {
            admit(token, job);
        }
    }

    /** Its caller may have sent it again meanwhile, to an entry that runs it. */
    private void abandonStale(long token, PoolJob job) {
        mBoard.count(PoolEntryCounter.JOBS_ABANDONED);
        String reason = "may have waited here while this process stood still";
        EventLog.line(Event.JOB_ENDED)
                .with("job", job.id())
                .with("queue", job.queue())
                .with("answer", "abandoned")
                .with("reason", reason)
                .with("paused_ms", mBoard.mTime.requestAge())
                .write();
        answer(token, new PoolAnswer.Abandoned(reason));
    }

    private void admit(long token, PoolJob job) {
        Optional<PoolQueue> queue = mBoard.mConfiguration.queue(job.queue());
        if (queue.isEmpty()) {
            refuse(token, job, new PoolAnswer.Refused("the queue was removed", RETRY_MILLIS));
            return;
        }
        ActiveJob active = new ActiveJob(job, queue.get(), mBoard.mNow, mResendMillis);
        Optional<PoolAnswer> refusal = mAdmission.check(active);
        if (refusal.isPresent()) {
            refuse(token, job, refusal.get());
            return;
        }
        active.mTokens.add(token);
        mBoard.mJobs.put(job.id(), active);
        dispatch();
        if (!active.begun()) {
            refuseIfUseless(active);
        }
    }

    private void refuse(long token, PoolJob job, PoolAnswer answer) {
        mBoard.count(PoolEntryCounter.JOBS_REFUSED);
        EventLog.line(Event.JOB_REFUSED)
                .with("job", job.id())
                .with("queue", job.queue())
                .with("configuration", mBoard.mConfiguration.version())
                .with("waiting_jobs", mBoard.mJobs.size())
                .with("sidecars", mBoard.mSeats.size())
                .with("answer", answer.outcome())
                .with("reason", answer.why().orElse(""))
                .write();
        answer(token, answer);
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
        mBoard.mTimes.placed(task, mBoard.mNow);
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

    /** Takes a job back; returns whether it was known. */
    void cancel(String id) {
        ActiveJob job = mBoard.mJobs.get(id);
        if (job != null) {
            mBoard.count(PoolEntryCounter.JOBS_CANCELLED);
            end(job, new PoolAnswer.Abandoned("cancelled by the caller"));
        }
    }

    void onTick() {
        mAnswers.values().removeIf(kept -> kept.until() <= mBoard.mNow);
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
        String id = job.mJob.id();
        job.mEnded = true;
        mBoard.mJobs.remove(id);
        stopRuns(job);
        switch (answer) {
            case PoolAnswer.Succeeded succeeded -> {
                mBoard.count(PoolEntryCounter.JOBS_SUCCEEDED);
                keep(id, answer);
            }
            case PoolAnswer.Failed failed -> {
                mBoard.count(PoolEntryCounter.JOBS_FAILED);
                keep(id, answer);
            }
            case PoolAnswer.Refused refused -> mBoard.count(PoolEntryCounter.JOBS_REFUSED);
            case PoolAnswer.Abandoned abandoned -> mBoard.count(PoolEntryCounter.JOBS_ABANDONED);
        }
        logEnd(job, answer);
        job.mTokens.forEach(token -> answer(token, answer));
    }

    private void logEnd(ActiveJob job, PoolAnswer answer) {
        EventLog.line(Event.JOB_ENDED)
                .with("job", job.mJob.id())
                .with("queue", job.mQueue.name())
                .with("configuration", mBoard.mConfiguration.version())
                .with("answer", answer.outcome())
                .with("reason", answer.why().orElse(""))
                .with("ms", mBoard.mNow - job.mArrivedAt)
                .with("sent_before_ms", job.mArrivedAt - job.mSentAt)
                .with("wanted_ms", wantedMillis(job))
                .with("tasks", job.mTasks.size())
                .with("tasks_done", job.doneTasks())
                .with("runs", job.mTasks.stream().mapToInt(task -> task.mRuns).sum())
                .with("failed_runs", job.mTasks.stream().mapToInt(task -> task.mFailures).sum())
                .with("targets", job.mTargets)
                .write();
    }

    private long wantedMillis(ActiveJob job) {
        return job.wantedEnd(mPlacement.longestMillis(job)) - job.mSentAt;
    }

    private void keep(String id, PoolAnswer answer) {
        mAnswers.put(id, new KeptAnswer(answer, mBoard.mNow + ANSWER_MILLIS));
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

    private void answer(long token, PoolAnswer answer) {
        mBoard.mActions.add(new PoolEntryAction.AnswerCaller(token, answer));
    }
}
