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

    /** Until when the process is busy with earlier work, in milliseconds since the epoch. */
    private double mBusyUntil;

    /** Until when the process is frozen, in milliseconds since the epoch. */
    long mFrozenUntil;

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
        if (mSimulation.mEventCostMillis > 0) {
            runWhenIdle(incarnation, work);
            return;
        }
        work.run();
        perform();
    }

    /** Executes work after the work that waits already, and keeps the process busy meanwhile. */
    private void runWhenIdle(int incarnation, Runnable work) {
        mBusyUntil = Math.max(mBusyUntil, mSimulation.mNow) + mSimulation.mEventCostMillis;
        mSimulation.at(
                (long) mBusyUntil,
                () -> {
                    if (mAlive && incarnation == mIncarnation) {
                        work.run();
                        perform();
                    }
                });
    }

    /** Sends a tick to the core, now and at each interval until the incarnation is killed. */
    void tickPeriodically(int incarnation) {
        if (mAlive && incarnation == mIncarnation) {
            runIfAlive(incarnation, this::onTick);
            mSimulation.after(PoolTiming.TICK_INTERVAL_MILLIS, () -> tickPeriodically(incarnation));
        }
    }

    /** Starts the next incarnation. */
    void start() {
        mIncarnation++;
        mAlive = true;
        mFrozenUntil = 0;
        startCore();
        tickPeriodically(mIncarnation);
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

    /** Performs the actions that the core has requested. */
    abstract void perform();
}
