package org.jackdawsaddle.internal.pool;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.pool.PoolAnswer;
import org.jackdawsaddle.pool.PoolJob;

/**
 * Answers callers, retains answers for requests that are sent again, and logs and counts the
 * outcomes of jobs.
 */
final class JobAnswers {
    /** How long an answer is kept for a caller that missed it and sends its request again. */
    private static final long RETENTION_MILLIS = 10_000;

    private record RetainedAnswer(PoolAnswer answer, long expiresAt) {}

    private final PoolEntryState mState;
    private final Placement mPlacement;
    private final Map<String, RetainedAnswer> mRetained = new LinkedHashMap<>();

    JobAnswers(PoolEntryState state, Placement placement) {
        mState = state;
        mPlacement = placement;
    }

    /** Returns the retained answer to a job; empty if there is none. */
    Optional<PoolAnswer> retained(String id) {
        return Optional.ofNullable(mRetained.get(id)).map(RetainedAnswer::answer);
    }

    /** Removes the answers whose retention time is over. */
    void evictExpired() {
        Iterator<RetainedAnswer> oldestFirst = mRetained.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next().expiresAt() <= mState.mNow) {
            oldestFirst.remove();
        }
    }

    /** Answers one request of a caller. */
    void answerCaller(long token, PoolAnswer answer) {
        mState.mActions.add(new PoolEntryAction.AnswerCaller(token, answer));
    }

    /**
     * Answers the caller of a job that was not admitted, and logs the reason. The log field {@code
     * waiting_jobs} counts all jobs that wait for their answer, running ones included.
     */
    void refuse(long token, PoolJob job, PoolAnswer answer) {
        count(answer);
        logLine(Event.JOB_REFUSED, job, answer)
                .with("waiting_jobs", mState.mJobs.size())
                .with("sidecars", mState.mSidecars.size())
                .write();
        answerCaller(token, answer);
    }

    /**
     * Answers the caller of a job that may be running on another entry and was therefore not
     * admitted: its request may have waited here during a pause of this process so long that the
     * caller has sent it again elsewhere. The log field {@code paused_ms} is the longest time that
     * it may have waited: the length of the pause.
     */
    void abandonUnadmitted(long token, PoolJob job, String reason) {
        PoolAnswer answer = new PoolAnswer.Abandoned(reason);
        count(answer);
        logLine(Event.JOB_ENDED, job, answer)
                .with("paused_ms", mState.mTimeline.maxRequestAgeMillis())
                .write();
        answerCaller(token, answer);
    }

    /**
     * Answers all callers of a job that has ended. A success or failure is retained for later
     * requests with the same id.
     */
    void answerAll(ActiveJob job, PoolAnswer answer) {
        count(answer);
        if (answer instanceof PoolAnswer.Succeeded || answer instanceof PoolAnswer.Failed) {
            mRetained.put(
                    job.mJob.id(), new RetainedAnswer(answer, mState.mNow + RETENTION_MILLIS));
        }
        logLine(Event.JOB_ENDED, job.mJob, answer)
                .with("ms", mState.mNow - job.mArrivedAt)
                .with("sent_before_ms", job.mArrivedAt - job.mFirstSentAt)
                .with("wanted_ms", responseTimeObjectiveMillis(job))
                .with("tasks", job.mTasks.size())
                .with("tasks_done", job.doneTaskCount())
                .with("runs", job.mTasks.stream().mapToInt(task -> task.mLastRunNumber).sum())
                .with("failed_runs", job.mTasks.stream().mapToInt(task -> task.mFailureCount).sum())
                .with("targets", job.mTargets)
                .write();
        job.mCallerTokens.forEach(token -> answerCaller(token, answer));
    }

    /** Returns the response time objective of a job, in milliseconds after its first request. */
    private long responseTimeObjectiveMillis(ActiveJob job) {
        return job.dueAt(mPlacement.longestTaskMillis(job)) - job.mFirstSentAt;
    }

    private void count(PoolAnswer answer) {
        mState.count(
                switch (answer) {
                    case PoolAnswer.Succeeded succeeded -> PoolEntryCounter.JOBS_SUCCEEDED;
                    case PoolAnswer.Failed failed -> PoolEntryCounter.JOBS_FAILED;
                    case PoolAnswer.Refused refused -> PoolEntryCounter.JOBS_REFUSED;
                    case PoolAnswer.Abandoned abandoned -> PoolEntryCounter.JOBS_ABANDONED;
                });
    }

    private EventLog.Line logLine(Event event, PoolJob job, PoolAnswer answer) {
        return EventLog.line(event)
                .with("job", job.id())
                .with("queue", job.queue())
                .with("configuration", mState.mConfiguration.version())
                .with("answer", answer.outcome())
                .with("reason", answer.optionalReason().orElse(""));
    }
}
