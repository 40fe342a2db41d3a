package org.jackdawsaddle.internal.dispatch;

import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.TaskKey;
import org.jackdawsaddle.internal.sidecar.SidecarAction;
import org.jackdawsaddle.internal.sidecar.SidecarCore;
import org.jackdawsaddle.internal.sidecar.SidecarEvent;
import org.jackdawsaddle.internal.sidecar.SidecarEvent.TargetAnswered;

/** A sidecar of a simulation, with its target, whose tasks fail at random. */
final class SimulatedSidecar extends SimulatedNode {
    static final int SLOTS = 3;
    private static final long ANNOUNCE_MILLIS = 1_000;

    final SidecarCore mCore;
    final NodeId mId;
    private int mRunningCount;

    SimulatedSidecar(Simulation simulation, String name, long incarnation) {
        super(simulation, name);
        mId = new NodeId(name, incarnation);
        mCore = new SidecarCore(mId, "here", clock());
    }

    void handle(SidecarEvent event) {
        mCore.handle(event, clock());
    }

    void announce() {
        if (mAlive) {
            SidecarEvent.Announcement announcement =
                    new SidecarEvent.Announcement(
                            mName, "service", mName, SLOTS, SLOTS, Demand.NONE, Demand.NONE);
            run(() -> handle(new SidecarEvent.TargetAnnounced(announcement)));
            mSimulation.mScheduler.after(ANNOUNCE_MILLIS, this::announce);
        }
    }

    @Override
    void tick() {
        run(() -> handle(new SidecarEvent.Tick()));
    }

    @Override
    void perform() {
        mCore.actions().forEach(this::perform);
    }

    private void perform(SidecarAction action) {
        mSimulation.trace(mId, action);
        switch (action) {
            case SidecarAction.SendToEntry send ->
                    mSimulation
                            .entry(send.entry())
                            .ifPresent(entry -> mSimulation.toEntry(this, entry, send.message()));
            case SidecarAction.RunTask run -> start(run.task().task());
            case SidecarAction.StopTask stop -> mSimulation.mCallers.count("stops");
        }
    }

    private void start(TaskKey task) {
        mRunningCount++;
        if (mRunningCount > SLOTS) {
            throw new AssertionError(
                    mName + " runs " + mRunningCount + " tasks, more than its slots");
        }
        mSimulation.mCallers.onStart(task);
        boolean fails = mSimulation.mRandom.nextInt(40) == 0;
        mSimulation.mScheduler.after(
                20 + mSimulation.mRandom.nextInt(400),
                () -> {
                    mRunningCount--;
                    run(() -> handle(answer(task, fails)));
                });
    }

    private static SidecarEvent answer(TaskKey task, boolean fails) {
        return new TargetAnswered(
                task,
                fails ? TargetAnswered.Outcome.FAILED : TargetAnswered.Outcome.COMPLETED,
                task.id() + "/" + task.index(),
                1_000);
    }
}
