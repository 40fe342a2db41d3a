package org.jackdawsaddle.internal.target;

import java.util.HashSet;
import java.util.Set;

/**
 * Tells a target that fails everything from jobs that fail everywhere.
 *
 * <p>Failures of one job count once, so that a job which can never run condemns no target.
 */
public final class TargetHealth {
    private static final int FAILED_JOBS_TO_PROBATION = 3;
    private static final int SUCCESSES_TO_RECOVER = 3;
    private static final long INITIAL_BLOCK_MILLIS = 2_000;
    private static final int MAX_BLOCK_DOUBLINGS = 5;

    private final Set<Object> mFailedJobs = new HashSet<>();
    private boolean mOnProbation;
    private long mBlockedUntil;
    private int mConsecutiveProbations;
    private int mConsecutiveSuccesses;

    /** Records a task that ended well. */
    public void recordSuccess() {
        mFailedJobs.clear();
        mConsecutiveSuccesses++;
        if (mOnProbation && mConsecutiveSuccesses >= SUCCESSES_TO_RECOVER) {
            mOnProbation = false;
            mConsecutiveProbations = 0;
        }
    }

    /**
     * Records a task that ended badly.
     *
     * @param job identifies the job, by equals
     * @param targetAtFault whether the same kind of job ends well on other targets
     * @return whether the target was put on probation by this
     */
    public boolean recordFailure(Object job, boolean targetAtFault, long now) {
        mConsecutiveSuccesses = 0;
        mFailedJobs.add(job);
        boolean thresholdReached = mOnProbation || mFailedJobs.size() >= FAILED_JOBS_TO_PROBATION;
        if (!targetAtFault || !thresholdReached || now < mBlockedUntil) {
            return false;
        }
        mOnProbation = true;
        mBlockedUntil =
                now
                        + (INITIAL_BLOCK_MILLIS
                                << Math.min(mConsecutiveProbations, MAX_BLOCK_DOUBLINGS));
        mConsecutiveProbations++;
        mFailedJobs.clear();
        return true;
    }

    /** Returns how many tasks the target may run at this time: none, one for a trial, or all. */
    public int allowedTasks(long now, int slots) {
        if (!mOnProbation) {
            return slots;
        }
        return now < mBlockedUntil ? 0 : 1;
    }

    /** Returns whether the target is barred or on trial. */
    public boolean onProbation() {
        return mOnProbation;
    }
}
