package org.jackdawsaddle.internal.pool;

import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.pool.PoolAnswer;
import org.jackdawsaddle.pool.PoolJob;
import org.jackdawsaddle.pool.PoolStep;

/** A caller that sends its job again if it gets no answer. */
final class SimulatedCaller {
    private final PoolSimulation mSimulation;
    final String mId;
    final int mTasks;
    int mAttempts;
    long mPendingToken;
    boolean mDone;

    SimulatedCaller(PoolSimulation simulation, String id, int tasks) {
        mSimulation = simulation;
        mId = id;
        mTasks = tasks;
    }

    void send() {
        if (mDone || mAttempts >= 3) {
            return;
        }
        mAttempts++;
        SimulatedEntry entry =
                mSimulation.mEntries.get(mSimulation.mRandom.nextInt(mSimulation.mEntries.size()));
        long token = ++mSimulation.mNumber;
        mPendingToken = token;
        mSimulation.log("caller sends " + mId + " to entry " + entry.mIndex);
        if (!entry.mRunning) {
            mSimulation.after(PoolSimulation.RESEND_MILLIS, this::send);
            return;
        }
        entry.mCallers.put(token, this);
        PoolStep step =
                new PoolStep(
                        mTasks,
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
                        (50 + mSimulation.mRandom.nextInt(800)) + " 4",
                        List.of(step),
                        mSimulation.mNow + PoolSimulation.CALLER_TIMEOUT_MILLIS);
        entry.run(
                entry.mIncarnation,
                () ->
                        entry.mCore.handle(
                                new PoolEntryEvent.JobSubmitted(token, job), mSimulation.mNow));
        mSimulation.after(
                PoolSimulation.CALLER_TIMEOUT_MILLIS,
                () -> {
                    if (mPendingToken == token && !mDone) {
                        entry.mCallers.remove(token);
                        mSimulation.after(PoolSimulation.RESEND_MILLIS, this::send);
                    }
                });
    }

    void connectionBroken() {
        mPendingToken = 0;
        mSimulation.after(PoolSimulation.RESEND_MILLIS, this::send);
    }

    void answered(PoolAnswer answer) {
        mSimulation.log("caller of " + mId + " gets " + answer);
        switch (answer) {
            case PoolAnswer.Succeeded succeeded -> {
                mDone = true;
                mSimulation.mSucceeded++;
            }
            case PoolAnswer.Failed failed -> mDone = true;
            case PoolAnswer.Refused refused -> mDone = true;
            case PoolAnswer.Abandoned abandoned -> {
                mPendingToken = 0;
                mSimulation.after(PoolSimulation.RESEND_MILLIS, this::send);
            }
        }
    }
}
