package org.jackdawsaddle.internal.pool;

/**
 * A process of a pool simulation. It restarts {@link PoolSimulation#RESTART_DELAY_MILLIS} after a
 * kill; while it is frozen, its work is delayed.
 */
abstract class SimulatedNode {
    final PoolSimulation mSimulation;
    final String mName;

    /** The current or latest incarnation: the number of starts so far, 0 before the first. */
    int mIncarnation;

    boolean mAlive;

    /** Number of wake-ups, in which the process handles all events of the same millisecond. */
    long mWakeUpCount;

    /** When the process last woke up, in milliseconds since the epoch. */
    private long mWokenAt;

    /** Until when the process is busy with earlier work, in milliseconds since the epoch. */
    private double mBusyUntil;

    /** Until when the process is frozen, in milliseconds since the epoch. */
    long mFrozenUntil;

    /** How long this process takes for each event, in milliseconds; 0 for that of all processes. */
    double mEventCostMillis;

    /** When the next tick is scheduled, in milliseconds since the epoch. */
    private long mTickAt;

    SimulatedNode(PoolSimulation simulation, String name) {
        mSimulation = simulation;
        mName = name;
    }

    /**
     * Executes work of an incarnation, now or when the process is no longer frozen, and then
     * performs the actions of the core. Drops the work if that incarnation is no longer alive.
     */
    void runIfAlive(int incarnation, Runnable work) {
        if (!mAlive || incarnation != mIncarnation) {
            return;
        }
        if (mSimulation.mNow < mFrozenUntil) {
            mSimulation.at(mFrozenUntil + 1, () -> runIfAlive(incarnation, work));
            return;
        }
        if (eventCostMillis() > 0) {
            runWhenIdle(incarnation, work);
            return;
        }
        runNow(incarnation, work);
    }

    private void runNow(int incarnation, Runnable work) {
        if (mSimulation.mNow > mWokenAt) {
            mWokenAt = mSimulation.mNow;
            mWakeUpCount++;
        }
        work.run();
        perform();
        if (nextTickAt() < mTickAt) {
            mTickAt = nextTickAt();
            mSimulation.at(Math.max(mTickAt, mSimulation.mNow), () -> tick(incarnation));
        }
    }

    private double eventCostMillis() {
        return mEventCostMillis > 0 ? mEventCostMillis : mSimulation.mEventCostMillis;
    }

    /** Executes work after the work that waits already, and keeps the process busy meanwhile. */
    private void runWhenIdle(int incarnation, Runnable work) {
        mBusyUntil = Math.max(mBusyUntil, mSimulation.mNow) + eventCostMillis();
        mSimulation.at(
                (long) mBusyUntil,
                () -> {
                    if (mAlive && incarnation == mIncarnation) {
                        runNow(incarnation, work);
                    }
                });
    }

    /** Sends a tick to the core, unless an earlier one was scheduled later and has been sent. */
    private void tick(int incarnation) {
        if (mSimulation.mNow >= mTickAt) {
            runIfAlive(
                    incarnation,
                    () -> {
                        mTickAt = Long.MAX_VALUE;
                        onTick();
                    });
        }
    }

    /** Freezes the process, for longer if it is frozen already until later. */
    void freeze(long millis) {
        mFrozenUntil = Math.max(mFrozenUntil, mSimulation.mNow + millis);
    }

    /** Starts the next incarnation. */
    void start() {
        mIncarnation++;
        mAlive = true;
        mFrozenUntil = 0;
        mTickAt = Long.MAX_VALUE;
        startCore();
        runIfAlive(mIncarnation, this::onTick);
    }

    /** Ends the incarnation without a shutdown, and schedules the start of the next one. */
    void kill() {
        if (mAlive) {
            mAlive = false;
            mSimulation.after(PoolSimulation.RESTART_DELAY_MILLIS, this::start);
        }
    }

    /** Replaces the core by a new one, which has lost all state of earlier incarnations. */
    abstract void startCore();

    /** Sends a tick to the core. */
    abstract void onTick();

    /** Returns when the core's next tick is due, in milliseconds since the epoch. */
    abstract long nextTickAt();

    /** Performs the actions that the core has requested. */
    abstract void perform();
}
