package org.jackdawsaddle.internal.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.jackdawsaddle.errors.ErrorCode;
import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.SubmissionId;

/** The jobs of one partition: the active ones, and the answers of those that have ended. */
final class JobTable {
    /** The maximum total size of the answers that are kept, in chars. */
    private static final long MAX_ANSWER_CHARS = 8_000_000;

    private static final JobAnswer ANSWER_DROPPED =
            new JobAnswer.Failed(ErrorCode.ANSWER_EXPIRED, "The answer was dropped.");

    private final Map<SubmissionId, Job> mActive = new LinkedHashMap<>();
    private final Map<SubmissionId, EndedJob> mEnded = new HashMap<>();
    private final PriorityQueue<Job> mJobsByDeadline =
            new PriorityQueue<>(Comparator.comparingLong(Job::deadline));

    /** The ids of ended jobs, in the order of their end, in which they are forgotten. */
    private final Deque<SubmissionId> mExpiryQueue = new ArrayDeque<>();

    /** The ids of ended jobs with an answer, in the order in which these are dropped. */
    private final Deque<SubmissionId> mRetainedAnswers = new ArrayDeque<>();

    /** The queues by service. */
    private final Map<String, JobQueue> mQueues = new LinkedHashMap<>();

    private final LimitUse mLimits = new LimitUse();

    /** The total size of the answers that were not dropped, in chars. */
    private long mAnswerChars;

    Optional<Job> activeJob(SubmissionId id) {
        return Optional.ofNullable(mActive.get(id));
    }

    Optional<EndedJob> endedJob(SubmissionId id) {
        return Optional.ofNullable(mEnded.get(id));
    }

    Collection<Job> activeJobs() {
        return List.copyOf(mActive.values());
    }

    boolean idle() {
        return mActive.isEmpty();
    }

    /** Returns the number of ids in the order in which their answers are dropped. */
    int retainedAnswerCount() {
        return mRetainedAnswers.size();
    }

    int endedCount() {
        return mEnded.size();
    }

    LimitUse limits() {
        return mLimits;
    }

    Map<String, JobQueue> queues() {
        return mQueues;
    }

    JobQueue queue(String service) {
        return mQueues.computeIfAbsent(service, name -> new JobQueue());
    }

    void add(Job job) {
        if (mActive.put(job.mRequest.id(), job) == null) {
            mJobsByDeadline.add(job);
        }
    }

    /**
     * Moves a job from the active jobs to the ended ones and releases its queue places and limits.
     */
    void end(Job job, JobAnswer answer) {
        queue(job.mKind.service()).remove(job);
        if (job.mAdmitted) {
            mLimits.release(job);
        }
        job.end(answer);
        mActive.remove(job.mRequest.id());
        remember(new EndedJob(job.mRequest.id(), job.mRequest.fingerprint(), answer));
    }

    /**
     * Keeps the answer to a submission until {@link #forgetExpired} forgets its id. If the answers
     * become larger than {@link #MAX_ANSWER_CHARS} in total, the oldest are replaced by an error.
     */
    void remember(EndedJob ended) {
        EndedJob previous = mEnded.put(ended.id(), ended);
        if (previous == null) {
            mExpiryQueue.add(ended.id());
        } else {
            mAnswerChars -= size(previous.answer());
        }
        if (size(ended.answer()) > 0) {
            mRetainedAnswers.add(ended.id());
            mAnswerChars += size(ended.answer());
        }
        while (mAnswerChars > MAX_ANSWER_CHARS) {
            dropOldestAnswer();
        }
    }

    /**
     * Returns the active jobs whose deadline has passed; each job is returned only once.
     *
     * @param now the current time in milliseconds since the epoch
     */
    List<Job> pollExpired(long now) {
        List<Job> expired = new ArrayList<>();
        while (!mJobsByDeadline.isEmpty() && mJobsByDeadline.peek().deadline() <= now) {
            Job job = mJobsByDeadline.poll();
            if (!job.ended()) {
                expired.add(job);
            }
        }
        return expired;
    }

    /**
     * Forgets the ended jobs whose ids are so old that they are refused. They are forgotten in the
     * order of their end, so an id may be kept for as long as one that ended before it.
     *
     * @param now the current time in milliseconds since the epoch
     */
    void forgetExpired(long now) {
        long oldest = now - Timing.ID_LIFETIME_MILLIS - Timing.MAX_CLOCK_SKEW_MILLIS;
        while (!mExpiryQueue.isEmpty() && mExpiryQueue.peek().unixMillis() < oldest) {
            mAnswerChars -= size(mEnded.remove(mExpiryQueue.poll()).answer());
        }
        while (!mRetainedAnswers.isEmpty() && !mEnded.containsKey(mRetainedAnswers.peek())) {
            mRetainedAnswers.poll();
        }
    }

    private void dropOldestAnswer() {
        EndedJob oldest = mEnded.get(mRetainedAnswers.poll());
        if (oldest != null) {
            mAnswerChars -= size(oldest.answer());
            mEnded.put(
                    oldest.id(), new EndedJob(oldest.id(), oldest.fingerprint(), ANSWER_DROPPED));
        }
    }

    /** Returns the size of a complete answer in chars; other answers count as 0. */
    private static long size(JobAnswer answer) {
        return answer instanceof JobAnswer.Complete complete
                ? complete.answers().stream().mapToLong(String::length).sum()
                : 0;
    }
}
