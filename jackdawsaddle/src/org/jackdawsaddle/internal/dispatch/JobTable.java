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
    private static final long MAX_ANSWER_CHARS = 8_000_000;
    private static final JobAnswer ANSWER_DROPPED =
            new JobAnswer.Failed(ErrorCode.ANSWER_EXPIRED, "The answer was dropped.");

    private final Map<SubmissionId, Job> mActive = new LinkedHashMap<>();
    private final Map<SubmissionId, EndedJob> mEnded = new HashMap<>();
    private final PriorityQueue<Job> mJobsByDeadline =
            new PriorityQueue<>(Comparator.comparingLong(Job::deadline));

    /** The ids of ended jobs, in the order in which they are forgotten. */
    private final Deque<SubmissionId> mExpiryQueue = new ArrayDeque<>();

    /** The ids of ended jobs, in the order in which their answers are dropped. */
    private final Deque<SubmissionId> mRetainedAnswers = new ArrayDeque<>();

    private final Map<String, JobQueue> mQueues = new LinkedHashMap<>();
    private final LimitUse mLimits = new LimitUse();
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
     * Keeps the answer to a submission for the lifetime of its id. If the answers become larger
     * than {@link #MAX_ANSWER_CHARS} in total, the oldest are replaced by an error.
     */
    void remember(EndedJob ended) {
        if (mEnded.put(ended.id(), ended) == null) {
            mExpiryQueue.add(ended.id());
        }
        mRetainedAnswers.add(ended.id());
        mAnswerChars += size(ended.answer());
        while (mAnswerChars > MAX_ANSWER_CHARS) {
            dropOldestAnswer();
        }
    }

    /** Returns the active jobs whose deadline has passed; each job is returned only once. */
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

    /** Forgets the ended jobs whose ids are so old that they are refused. */
    void forgetExpired(long now) {
        long oldest = now - Timing.ID_LIFETIME_MILLIS - Timing.MAX_CLOCK_SKEW_MILLIS;
        while (!mExpiryQueue.isEmpty() && mExpiryQueue.peek().unixMillis() < oldest) {
            mEnded.remove(mExpiryQueue.poll());
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

    private static long size(JobAnswer answer) {
        return answer instanceof JobAnswer.Complete complete
                ? complete.answers().stream().mapToLong(String::length).sum()
                : 0;
    }
}
