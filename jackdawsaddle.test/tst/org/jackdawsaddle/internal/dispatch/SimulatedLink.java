package org.jackdawsaddle.internal.dispatch;

/**
 * A connection of a simulation. Messages in one direction arrive in order, each after a random
 * delay, until the connection is cut.
 */
final class SimulatedLink {
    private final Simulation mSimulation;
    final SimulatedNode mFrom;
    final SimulatedNode mTo;
    boolean mOpen = true;
    private long mLastForwardAt;
    private long mLastBackwardAt;

    SimulatedLink(Simulation simulation, SimulatedNode from, SimulatedNode to) {
        mSimulation = simulation;
        mFrom = from;
        mTo = to;
    }

    /**
     * Delivers a message from the sender to the other end. It is lost if the link is cut before it
     * arrives, or if the receiver handles it only after the notification of the cut or the opening
     * of a new link.
     *
     * @param handling the handling of the message by the receiver
     */
    void deliver(SimulatedNode sender, Runnable work) {
        SimulatedNode receiver = sender == mFrom ? mTo : mFrom;
        long at = mSimulation.mScheduler.now() + mSimulation.delay();
        if (sender == mFrom) {
            mLastForwardAt = Math.max(mLastForwardAt, at);
            at = mLastForwardAt;
        } else {
            mLastBackwardAt = Math.max(mLastBackwardAt, at);
            at = mLastBackwardAt;
        }
        mSimulation.mScheduler.at(
                at,
                () -> {
                    if (mOpen) {
                        receiver.run(() -> {
                            if (receiver.mLinks.get(sender) == this) {
                                work.run();
                            }
                        });
                    }
                });
    }

    /**
     * Cuts the link and drops the messages in flight; both ends are notified, after independent
     * delays.
     */
    void cut() {
        if (!mOpen) {
            return;
        }
        mOpen = false;
        notifyEnd(mFrom, mTo);
        notifyEnd(mTo, mFrom);
    }

    private void notifyEnd(SimulatedNode node, SimulatedNode other) {
        mSimulation.mScheduler.after(
                mSimulation.delay(),
                () -> node.run(() -> mSimulation.notifyDisconnected(node, other, this)));
    }
}
