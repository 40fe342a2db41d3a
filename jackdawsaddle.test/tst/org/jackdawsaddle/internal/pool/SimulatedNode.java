package org.jackdawsaddle.internal.pool;

/** A process that can be killed, restarted and frozen. */
abstract class SimulatedNode {
    final PoolSimulation mSimulation;
    final String mName;
    int mIncarnation;
    boolean mAlive;
    long mFrozenUntil;

    SimulatedNode(PoolSimulation simulation, String name) {
        mSimulation = simulation;
        mName = name;
    }

    /** Runs work unless the incarnation has ended; delays it while the process is frozen. */
    void run(int incarnation, Runnable work) {
        if (!mAlive || incarnation != mIncarnation) {
            return;
        }
        if (mSimulation.mNow < mFrozenUntil) {
            mSimulation.at(mFrozenUntil + 1, () -> run(incarnation, work));
            return;
        }
        work.run();
        perform();
    }

    void tickPeriodically(int incarnation) {
        if (mAlive && incarnation == mIncarnation) {
            run(incarnation, this::onTick);
            mSimulation.after(PoolTiming.TICK_INTERVAL_MILLIS, () -> tickPeriodically(incarnation));
        }
    }

    void start() {
        mIncarnation++;
        mAlive = true;
        mFrozenUntil = 0;
        startCore();
        tickPeriodically(mIncarnation);
    }

    void kill() {
        if (mAlive) {
            mAlive = false;
            mSimulation.after(PoolSimulation.RESTART_DELAY_MILLIS, this::start);
        }
    }

    abstract void startCore();

    abstract void onTick();

    abstract void perform();
}
