package org.jackdawsaddle.internal.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A process of a simulation, until it is killed. While it is frozen, its work is delayed. */
abstract class SimulatedNode {
    final Simulation mSimulation;
    final String mName;

    /** The open links as this process knows them, by the process at the other end. */
    final Map<SimulatedNode, SimulatedLink> mLinks = new LinkedHashMap<>();

    /** The work that waits until the frozen process is resumed. */
    private final List<Runnable> mBacklog = new ArrayList<>();

    boolean mAlive = true;
    boolean mFrozen;
    long mClockOffsetMillis;

    SimulatedNode(Simulation simulation, String name) {
        mSimulation = simulation;
        mName = name;
    }

    /** Returns the time by the clock of this process, in milliseconds since the epoch. */
    long clock() {
        return mSimulation.mScheduler.now() + mClockOffsetMillis;
    }

    /** Runs work of this process, now or when it is resumed; a killed process drops it. */
    void run(Runnable work) {
        if (!mAlive) {
            return;
        }
        if (mFrozen) {
            mBacklog.add(work);
            return;
        }
        work.run();
        perform();
    }

    void freeze() {
        mFrozen = true;
    }

    void resume() {
        if (mFrozen) {
            mFrozen = false;
            List<Runnable> backlog = List.copyOf(mBacklog);
            mBacklog.clear();
            backlog.forEach(this::run);
        }
    }

    void kill() {
        mAlive = false;
        mBacklog.clear();
        List.copyOf(mLinks.values()).forEach(SimulatedLink::cut);
    }

    /** Performs the actions that the decision logic has requested. */
    abstract void perform();

    /** Sends a tick to the decision logic. */
    abstract void tick();
}
