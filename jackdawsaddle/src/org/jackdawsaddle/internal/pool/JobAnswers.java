package org.jackdawsaddle.internal.pool;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.pool.PoolAnswer;
import org.jackdawsaddle.pool.PoolJob;

/** Gives callers their answers, with a line of the log and a count for each job. */
final class JobAnswers {
    /** How long an answer is kept for a caller that did not get it and sends the job again. */
    private static final long KEPT_MILLIS = 10_000;

    private record KeptAnswer(PoolAnswer answer, long until) {}

    private final PoolBoard mBoard;
    private final Placement mPlacement;
    private final Map<String, KeptAnswer> mKept = new LinkedHashMap<>();

    JobAnswers(PoolBoard board, Placement placement) {
        mBoard = board;
        mPlacement = placement;
    }

    /** Returns the answer that a job got lately. */
    Optional<PoolAnswer> kept(String id) {
        return Optional.ofNullable(mKept.get(id)).map(KeptAnswer::answer);
    }

    /** Forgets the answers that no caller will ask for any more. */
    void forgetOld() {
        mKept.values().removeIf(kept -> kept.until() <= mBoard.mNow);
    }

    /** Answers one caller. */
    void give(long token, PoolAnswer answer) {
        mBoard.mActions.add(new PoolEntryAction.AnswerCaller(token, answer));
    }

    /** Answers the caller of a job that was not taken in. */
    void refuse(long token, PoolJob job, PoolAnswer answer) {
        count(answer);
        line(Event.JOB_REFUSED, job, answer)
                .with("waiting_jobs", mBoard.mJobs.size())
                .with("sidecars", mBoard.mSeats.size())
                .write();
        give(token, answer);
    }

    /**
     * Answers the caller of a job of which this entry knows nothing, and which may run elsewhere.
     */
    void abandonUnseen(long token, PoolJob job, String reason) {
        PoolAnswer answer = new PoolAnswer.Abandoned(reason);
        count(answer);
        line(Event.JOB_ENDED, job, answer).with("paused_ms", mBoard.mTime.requestAge()).write();
        give(token, answer);
    }

    /** Answers all callers of a job that has ended. */
    void end(ActiveJob job, PoolAnswer answer) {
        count(answer);
        if (answer instanceof PoolAnswer.Succeeded || answer instanceof PoolAnswer.Failed) {
            mKept.put(job.mJob.id(), new KeptAnswer(answer, mBoard.mNow + KEPT_MILLIS));
        }
        line(Event.JOB_ENDED, job.mJob, answer)
                .with("ms", mBoard.mNow - job.mArrivedAt)
                .with("sent_before_ms", job.mArrivedAt - job.mSentAt)
                .with("wanted_ms", wantedMillis(job))
                .with("tasks", job.mTasks.size())
                .with("tasks_done", job.doneTasks())
                .with("runs", job.mTasks.stream().mapToInt(task -> task.mRuns).sum())
                .with("failed_runs", job.mTasks.stream().mapToInt(task -> task.mFailures).sum())
                .with("targets", job.mTargets)
                .write();
        job.mTokens.forEach(token -> give(token, answer));
    }

    private long wantedMillis(ActiveJob job) {
        return job.wantedEnd(mPlacement.longestMillis(job)) - job.mSentAt;
    }

    private void count(PoolAnswer answer) {
        mBoard.count(
                switch (answer) {
                    case PoolAnswer.Succeeded succeeded -> PoolEntryCounter.JOBS_SUCCEEDED;
                    case PoolAnswer.Failed failed -> PoolEntryCounter.JOBS_FAILED;
                    case PoolAnswer.Refused refused -> PoolEntryCounter.JOBS_REFUSED;
                    case PoolAnswer.Abandoned abandoned -> PoolEntryCounter.JOBS_ABANDONED;
                });
    }

    private EventLog.Line line(Event event, PoolJob job, PoolAnswer answer) {
        return EventLog.line(event)
                .with("job", job.id())
                .with("queue", job.queue())
                .with("configuration", mBoard.mConfiguration.version())
                .with("answer", answer.outcome())
                .with("reason", answer.why().orElse(""));
    }
}
