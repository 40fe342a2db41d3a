package org.jackdawsaddle.internal.pool;

import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.pool.PoolAnswer;
import org.jackdawsaddle.pool.PoolJob;
import org.jackdawsaddle.pool.PoolStep;

/**
 * A caller that sends its job to a random entry, and sends it again, up to 3 times in all, if it
 * gets no answer or an abandoned one.
 */
final class SimulatedCaller {
    private final PoolSimulation mSimulation;
    final String mId;
    final int mTaskCount;
    int mAttemptCount;

    /** The token of the latest request; 0 once the entry has abandoned or lost it. */
    long mPendingToken;

    /** Whether an answer other than an abandoned one has arrived. */
    boolean mFinished;

    SimulatedCaller(PoolSimulation simulation, String id, int tasks) {
        mSimulation = simulation;
        mId = id;
        mTaskCount = tasks;
    }

    /** Sends the job, and schedules the next attempt in case there is no answer. */
    void send() {
        if (mFinished || mAttemptCount >= 3) {
            return;
        }
        mAttemptCount++;
        SimulatedEntry entry =
                mSimulation.mEntries.get(mSimulation.mRandom.nextInt(mSimulation.mEntries.size()));
        long token = ++mSimulation.mLastNumber;
        mPendingToken = token;
        mSimulation.log("caller sends " + mId + " to entry " + entry.mIndex);
        if (!entry.mAlive) {
            mSimulation.after(PoolSimulation.RESEND_MILLIS, this::send);
            return;
        }
        entry.mCallersByToken.put(token, this);
        PoolStep step =
                new PoolStep(
                        mTaskCount,
                        new Demand(4, 64, 0),
                        200,
                        List.of(),
                        Optional.empty(),
                        Optional.empty(),
                        0);
        PoolJob job =
                new PoolJob(
                        mId,
                        "checks",
                        (50 + mSimulation.mRandom.nextInt(mSimulation.mTaskRangeMillis)) + " 4",
                        List.of(step),
                        mSimulation.mNow + PoolSimulation.CALLER_TIMEOUT_MILLIS);
        entry.runIfAlive(
                entry.mIncarnation,
                () ->
                        entry.mCore.handle(
                                new PoolEntryEvent.JobSubmitted(token, job), mSimulation.mNow));
        mSimulation.after(
                PoolSimulation.CALLER_TIMEOUT_MILLIS,
                () -> {
                    if (mPendingToken == token && !mFinished) {
                        entry.mCallersByToken.remove(token);
                        mSimulation.after(PoolSimulation.RESEND_MILLIS, this::send);
                    }
                });
    }

    /** Handles a restart of the entry, which has lost the request. */
    void onConnectionLost() {
        mPendingToken = 0;
        mSimulation.after(PoolSimulation.RESEND_MILLIS, this::send);
    }

    void onAnswered(PoolAnswer answer) {
        mSimulation.log("caller of " + mId + " gets " + answer);
        switch (answer) {
            case PoolAnswer.Succeeded succeeded -> {
                mFinished = true;
                mSimulation.mSucceededJobCount++;
            }
            case PoolAnswer.Failed failed -> {
                mFinished = true;
                mSimulation.mFailedJobCount++;
            }
            case PoolAnswer.Refused refused -> mFinished = true;
            case PoolAnswer.Abandoned abandoned -> {
                mPendingToken = 0;
                mSimulation.after(PoolSimulation.RESEND_MILLIS, this::send);
            }
        }
    }
}
