package org.jackdawsaddle.internal.target;

import java.util.HashSet;
import java.util.Set;

/**
 * A circuit breaker for one target.
 *
 * <p>Failures of several jobs without a success in between put the target on probation: it is
 * blocked for a time, then gets one task at a time, and all its slots again after enough
 * consecutive successes; those of tasks that started before the block count too, and can end the
 * probation during the block. A failure after the block blocks it again for twice as long, up to a
 * limit. Several failures of one job count once, so that a job that can never complete does not put
 * a target on probation by itself.
 *
 * <p>Not thread-safe.
 */
public final class TargetHealth {
    private static final int FAILED_JOBS_TO_PROBATION = 3;
    private static final int SUCCESSES_TO_RECOVER = 3;
    private static final long INITIAL_BLOCK_MILLIS = 2_000;
    private static final int MAX_BLOCK_DOUBLINGS = 5;

    /** The jobs that have failed since the latest success or the start of the latest block. */
    private final Set<Object> mFailedJobs = new HashSet<>();

    private boolean mOnProbation;

    /** In milliseconds since the epoch. */
    private long mBlockedUntil;

    private int mBlocksSinceRecovery;
    private int mConsecutiveSuccesses;

    /** Records a completed task. */
    public void recordSuccess() {
        mFailedJobs.clear();
        mConsecutiveSuccesses++;
        if (mOnProbation && mConsecutiveSuccesses >= SUCCESSES_TO_RECOVER) {
            mOnProbation = false;
            mBlocksSinceRecovery = 0;
        }
    }

    /**
     * Records a failed task.
     *
     * @param job the identity of the job, compared by equals
     * @param targetAtFault whether the failure is attributed to the target and not to the job kind;
     *     otherwise this call does not block the target, but the failure counts for the next
     * @param now the current time in milliseconds since the epoch
     * @return whether this failure has put the target on probation, or has blocked it again
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
                now + (INITIAL_BLOCK_MILLIS << Math.min(mBlocksSinceRecovery, MAX_BLOCK_DOUBLINGS));
        mBlocksSinceRecovery++;
        mFailedJobs.clear();
        return true;
    }

    /**
     * Returns how many tasks the target may run now: none, one as a trial, or all its slots.
     *
     * @param now the current time in milliseconds since the epoch
     * @param slots the result outside probation: the number of slots of the target, or {@link
     *     Integer#MAX_VALUE} if it has no such limit
     */
    public int allowedTasks(long now, int slots) {
        if (!mOnProbation) {
            return slots;
        }
        return now < mBlockedUntil ? 0 : 1;
    }

    /** Returns whether the target is on probation: blocked, or limited to trial tasks. */
    public boolean onProbation() {
        return mOnProbation;
    }
}
