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

/** The jobs of one partition: those in hand, and what is remembered of those that ended. */
final class JobTable {
    private static final long MAX_ANSWER_CHARS = 8_000_000;
    private static final JobAnswer ANSWER_DROPPED =
            new JobAnswer.Failed(ErrorCode.ANSWER_EXPIRED, "The answer was dropped.");

    private final Map<SubmissionId, Job> mActive = new LinkedHashMap<>();
    private final Map<SubmissionId, EndedJob> mEnded = new HashMap<>();
    private final PriorityQueue<Job> mDeadlines =
            new PriorityQueue<>(Comparator.comparingLong(Job::deadline));
    private final Deque<SubmissionId> mExpiryQueue = new ArrayDeque<>();
    private final Deque<SubmissionId> mRetainedAnswers = new ArrayDeque<>();
    private final Map<String, JobQueue> mQueues = new LinkedHashMap<>();
    private final LimitUse mLimits = new LimitUse();
    private long mAnswerChars;

    Optional<Job> active(SubmissionId id) {
        return Optional.ofNullable(mActive.get(id));
    }

    Optional<EndedJob> ended(SubmissionId id) {
        return Optional.ofNullable(mEnded.get(id));
    }

    Collection<Job> active() {
        return List.copyOf(mActive.values());
    }

    boolean idle() {
        return mActive.isEmpty();
    }

    int remembered() {
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
            mDeadlines.add(job);
        }
    }

    /** Moves a job from those in hand to those that ended. */
    void end(Job job, JobAnswer answer) {
        queue(job.mKind.service()).remove(job);
        if (job.mAdmitted) {
            mLimits.release(job);
        }
        job.end(answer);
        mActive.remove(job.mRequest.id());
        remember(new EndedJob(job.mRequest.id(), job.mRequest.fingerprint(), answer));
    }

    /** Keeps the answer to a submission for the lifetime of its id. */
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

    /** Takes out the jobs whose deadline has passed. */
    List<Job> pollExpired(long now) {
        List<Job> expired = new ArrayList<>();
        while (!mDeadlines.isEmpty() && mDeadlines.peek().deadline() <= now) {
            Job job = mDeadlines.poll();
            if (!job.ended()) {
                expired.add(job);
            }
        }
        return expired;
    }

    /** Drops what is remembered of ids that are refused by their age. */
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
