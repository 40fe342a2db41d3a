package org.jackdawsaddle.internal.pool;

/** A process that can be killed, restarted and frozen. */
abstract class SimulatedProcess {
    final PoolSimulation mSimulation;
    final String mName;
    int mIncarnation;
    boolean mRunning;
    long mFrozenUntil;

    SimulatedProcess(PoolSimulation simulation, String name) {
        mSimulation = simulation;
        mName = name;
    }

    /** Runs work unless the incarnation has ended; delays it while the process is frozen. */
    void run(int incarnation, Runnable work) {
        if (!mRunning || incarnation != mIncarnation) {
            return;
        }
        if (mSimulation.mNow < mFrozenUntil) {
            mSimulation.at(mFrozenUntil + 1, () -> run(incarnation, work));
            return;
        }
        work.run();
        perform();
    }

    void tick(int incarnation) {
        if (mRunning && incarnation == mIncarnation) {
            run(incarnation, this::onTick);
            mSimulation.after(PoolTiming.TICK_INTERVAL_MILLIS, () -> tick(incarnation));
        }
    }

    void start() {
        mIncarnation++;
        mRunning = true;
        mFrozenUntil = 0;
        create();
        tick(mIncarnation);
    }

    void kill() {
        if (mRunning) {
            mRunning = false;
            mSimulation.after(PoolSimulation.RESTART_MILLIS, this::start);
        }
    }

    abstract void create();

    abstract void onTick();

    abstract void perform();
}
