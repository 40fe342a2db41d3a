package org.jackdawsaddle.internal.pool;

import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.pool.PoolAnswer;
import org.jackdawsaddle.pool.PoolJob;
import org.jackdawsaddle.pool.PoolQueue;

/** Admits jobs, decides when their tasks are placed, and ends jobs with an answer. */
final class JobController {
    /** How long a job without a suitable target waits for the discovery of one before it fails. */
    private static final long DISCOVERY_TIMEOUT_MILLIS = 300;

    private final PoolEntryState mState;
    private final Placement mPlacement;
    private final PoolAdmission mAdmission;
    private final long mResendMillis;
    private final JobAnswers mAnswers;

    private final HandOverController mHandOvers;
    private final QueueForecast mForecast;
    private final TaskDispatcher mDispatcher;

    /** Whether time has passed or a job was admitted since the last forecast. */
    private boolean mForecastDue;

    /** Whether an event since the last dispatch may have made a task placeable. */
    private boolean mDispatchDue;

    JobController(
            PoolEntryState state,
            Placement placement,
            PoolAdmission admission,
            PeerController peers,
            double processorCores,
            long resendMillis) {
        mState = state;
        mPlacement = placement;
        mAdmission = admission;
        mResendMillis = resendMillis;
        mAnswers = new JobAnswers(state, placement);
        mHandOvers = new HandOverController(state, peers, processorCores, this::serve);
        mForecast = new QueueForecast(placement);
        mDispatcher = new TaskDispatcher(state, placement, mForecast, resendMillis);
    }

    /**
     * Admits a job, or answers the call at once. A request for an active job waits for the answer
     * to that job, and one for a job with a retained answer gets that answer.
     *
     * @param token identifies the call to answer
     */
    void submit(long token, PoolJob job) {
        mHandOvers.recordSubmitted(job);
        boolean answeredElsewhere =
                mHandOvers.join(token, job.id())
                        || mayHandOver(job.id()) && mHandOvers.offer(token, job);
        if (!answeredElsewhere) {
            serve(token, job);
        }
    }

    /**
     * Returns whether nothing is known here of a job, so that another entry can serve it as well,
     * and its request cannot have waited here for as long as a resend delay.
     */
    private boolean mayHandOver(String id) {
        return !mState.mJobs.containsKey(id)
                && !mState.mStoppingRunCounts.containsKey(id)
                && mAnswers.retained(id).isEmpty()
                && mState.mTimeline.maxRequestAgeMillis() < mResendMillis;
    }

    /** Serves the job of a call at this entry, see {@link #submit}. */
    void serve(long token, PoolJob job) {
        mState.count(PoolEntryCounter.JOBS_SUBMITTED);
        ActiveJob active = mState.mJobs.get(job.id());
        Optional<PoolAnswer> retained = mAnswers.retained(job.id());
        if (active != null) {
            mState.count(PoolEntryCounter.JOBS_JOINED);
            active.mCallerTokens.add(token);
        } else if (retained.isPresent()) {
            mState.count(PoolEntryCounter.JOBS_JOINED);
            mAnswers.answerCaller(token, retained.get());
        } else if (mState.mTimeline.maxRequestAgeMillis() >= mResendMillis) {
            // The caller may have sent the job again meanwhile, to an entry that runs it.
            mAnswers.abandonUnadmitted(
                    token, job, "may have waited here while this process stood still");
        } else {
            admit(token, job);
        }
    }

    private void admit(long token, PoolJob job) {
        Optional<PoolQueue> queue = mState.mConfiguration.queue(job.queue());
        if (queue.isEmpty()) {
            mAnswers.refuse(
                    token,
                    job,
                    new PoolAnswer.Refused(
                            "the queue was removed", RetryDelay.millis(job.id(), 0)));
            return;
        }
        ActiveJob active = new ActiveJob(job, queue.get(), mState.mNow, mResendMillis);
        Optional<PoolAnswer> refusal = mAdmission.refusalFor(active);
        if (refusal.isPresent()) {
            mAnswers.refuse(token, job, refusal.get());
            return;
        }
        active.mCallerTokens.add(token);
        mState.mJobs.put(job.id(), active);
        mState.mLastAdmittedAt = mState.mNow;
        mForecastDue = true;
        mDispatchDue = true;
    }

    /** Returns what tracks the jobs that other entries answer. */
    HandOverController handOvers() {
        return mHandOvers;
    }

    /** Makes the next {@link #dispatchIfDue} place tasks. */
    void requestDispatch() {
        mDispatchDue = true;
    }

    /**
     * Places tasks if a dispatch was requested since the last call, then refuses the jobs that
     * cannot be served in time. Called once for all events that are read together, as its cost
     * grows with the number of waiting jobs and of sidecars.
     */
    void dispatchIfDue() {
        if (!mDispatchDue) {
            return;
        }
        mDispatchDue = false;
        List<WaitingJob> waiting = mDispatcher.dispatch();
        if (mForecastDue) {
            mForecastDue = false;
            refuseUnservable(waiting);
        }
    }

    /**
     * Refuses the jobs that cannot be served while their answer is of use. Leaves out those that
     * fit no target, which fail unless a larger target is discovered soon.
     */
    private void refuseUnservable(List<WaitingJob> waiting) {
        if (!mState.mTimeline.discovering()) {
            List<WaitingJob> placeable =
                    waiting.stream()
                            .filter(job -> mAdmission.everyTaskCouldFit(job.job()))
                            .toList();
            mForecast
                    .refusals(placeable, mAdmission.coreShare(), mState.mNow)
                    .forEach(refusal -> end(refusal.job(), answer(refusal)));
        }
    }

    private static PoolAnswer answer(QueueForecast.Refusal refusal) {
        return new PoolAnswer.Refused(
                "overloaded", RetryDelay.millis(refusal.job().mJob.id(), refusal.waitMillis()));
    }

    /**
     * Removes a run that has ended or was not started from those placed on a sidecar.
     *
     * @return the run; empty if it is not placed there
     */
    Optional<PlacedRun> removeRun(SidecarView sidecar, Run run) {
        PlacedRun placed = sidecar.mPlacedRuns.remove(run);
        if (placed == null) {
            return Optional.empty();
        }
        if (placed.mTask.mJob.mEnded) {
            removeStoppingRun(placed.mTask.mJob);
        }
        return Optional.of(placed);
    }

    /** Removes one of the runs that an ended job still has. */
    private void removeStoppingRun(ActiveJob job) {
        String id = job.mJob.id();
        mState.mStoppingRunCounts.computeIfPresent(id, (key, n) -> n == 1 ? null : n - 1);
        if (!mState.mStoppingRunCounts.containsKey(id)) {
            long millis = mState.mNow - job.mEndedAt;
            mState.mDurations.recordStopped(millis);
            EventLog.line(Event.JOB_STOPPED).with("job", id).with("ms", millis).write();
        }
    }

    /** Makes a placed task wait for another run, unless its job has ended. */
    void requeue(PlacedRun placed) {
        placed.mTask.mJob.markWaiting(placed.mTask);
    }

    /** Records that a task succeeded; ends the job after its last task. */
    void onTaskDone(PlacedRun placed) {
        mState.mQuarantine.recordDone(placed.mTask.mName);
        ActiveJob job = placed.mTask.mJob;
        if (!job.mEnded && job.markDone(placed.mTask)) {
            end(job, new PoolAnswer.Succeeded());
        }
    }

    /**
     * Records that a run failed; retries the task, or fails its job if the task has now failed as
     * often as the queue allows. Only counts the failure if the job has ended.
     */
    void onTaskFailed(PlacedRun placed) {
        TaskState task = placed.mTask;
        task.mFailureCount++;
        ActiveJob job = task.mJob;
        if (job.mEnded) {
            return;
        }
        if (task.mFailureCount >= job.mQueue.maxAttempts()) {
            end(job, new PoolAnswer.Failed("task " + task.mName + " failed at every attempt"));
        } else {
            requeue(placed);
        }
    }

    /**
     * Fails the job of a task, if it is active, once too many targets have crashed under the task.
     */
    void giveUpIfDeadly(String task) {
        ActiveJob job = mState.mJobs.get(TaskNames.jobOf(task));
        if (job != null && mState.mQuarantine.givenUp(task)) {
            end(job, PoolAdmission.deadly(task));
        }
    }

    /**
     * Ends the job of a call whose caller has left, unless other callers wait for its answer: it
     * may be sent again to another entry, which must not find its tasks still running.
     */
    void onCallerLost(long token) {
        if (mHandOvers.onCallerLost(token)) {
            mState.count(PoolEntryCounter.CALLERS_LOST);
            return;
        }
        mState.mJobs.values().stream()
                .filter(job -> job.mCallerTokens.contains(token))
                .findFirst()
                .ifPresent(job -> leave(job, token));
    }

    private void leave(ActiveJob job, long token) {
        mState.count(PoolEntryCounter.CALLERS_LOST);
        PoolAnswer answer = new PoolAnswer.Abandoned("its caller has left");
        if (job.mCallerTokens.size() == 1) {
            end(job, answer);
        } else {
            job.mCallerTokens.remove(token);
            mAnswers.answerCaller(token, answer);
        }
    }

    /** Ends a job as abandoned; returns false if it is not active. */
    boolean cancel(String id) {
        ActiveJob job = mState.mJobs.get(id);
        if (job == null) {
            return false;
        }
        mState.count(PoolEntryCounter.JOBS_CANCELLED);
        end(job, new PoolAnswer.Abandoned("cancelled by the caller"));
        return true;
    }

    void onTick() {
        mAnswers.evictExpired();
        mHandOvers.onTick();
        mState.mQuarantine.onTick(mState.mNow);
        List.copyOf(mState.mJobs.values()).forEach(this::endIfExpired);
        mForecastDue = true;
        mDispatchDue = true;
    }

    /**
     * Ends a job whose deadline has passed or that is not done when the process stops, or one
     * without placed tasks that fits no target or would end too late.
     */
    private void endIfExpired(ActiveJob job) {
        if (job.mJob.deadline() <= mState.mNow) {
            endUnfinished(job, "not done when its caller stopped waiting");
        } else if (mState.mWorkDeadline <= mState.mNow) {
            endUnfinished(job, PoolAdmission.SHUTTING_DOWN);
        } else if (!job.everPlaced()) {
            endIfUnplaceable(job);
        }
    }

    private void endUnfinished(ActiveJob job, String reason) {
        end(
                job,
                job.everPlaced()
                        ? new PoolAnswer.Abandoned(reason)
                        : new PoolAnswer.Refused(reason, RetryDelay.millis(job.mJob.id(), 0)));
    }

    private void endIfUnplaceable(ActiveJob job) {
        if (mAdmission.everyTaskCouldFit(job)) {
            refuseIfTooLate(job);
        } else if (mState.mNow - job.mArrivedAt >= DISCOVERY_TIMEOUT_MILLIS
                && !mState.mTimeline.discovering()) {
            endAsTooLarge(job);
        }
    }

    /** Fails a job for good only if targets are known that are too small for it. */
    private void endAsTooLarge(ActiveJob job) {
        if (mAdmission.knowsTargetOf(job)) {
            end(job, new PoolAnswer.Failed("a task is larger than every target"));
        } else {
            endUnfinished(job, "no target is known");
        }
    }

    private void refuseIfTooLate(ActiveJob job) {
        if (!mPlacement.useful(job, mState.mNow)) {
            endUnfinished(job, "waited too long for room");
        } else if (!mAdmission.endsBeforeShutdown(job)) {
            endUnfinished(job, PoolAdmission.SHUTTING_DOWN);
        }
    }

    private void end(ActiveJob job, PoolAnswer answer) {
        job.mEnded = true;
        job.mEndedAt = mState.mNow;
        mState.mJobs.remove(job.mJob.id());
        stopRuns(job);
        mAnswers.answerAll(job, answer);
    }

    private void stopRuns(ActiveJob job) {
        for (SidecarView sidecar : mState.mSidecars.values()) {
            for (PlacedRun placed : sidecar.mPlacedRuns.values()) {
                if (placed.mTask.mJob == job) {
                    mState.mStoppingRunCounts.merge(job.mJob.id(), 1, Integer::sum);
                    mState.requestStop(sidecar, placed);
                }
            }
        }
    }
}
