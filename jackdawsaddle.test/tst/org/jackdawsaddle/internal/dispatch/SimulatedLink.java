package org.jackdawsaddle.internal.dispatch;

/**
 * A connection of a simulation. Messages in one direction arrive in order, each after a random
 * delay, until the connection is cut.
 */
final class SimulatedLink {
    private final Simulation mSimulation;

    /** The end that opened the connection. */
    final SimulatedNode mInitiator;

    final SimulatedNode mAcceptor;
    boolean mOpen = true;

    /** The arrival time of the latest message to the acceptor, in milliseconds since the epoch. */
    private long mLastArrivalAtAcceptor;

    /** The arrival time of the latest message to the initiator, in milliseconds since the epoch. */
    private long mLastArrivalAtInitiator;

    SimulatedLink(Simulation simulation, SimulatedNode initiator, SimulatedNode acceptor) {
        mSimulation = simulation;
        mInitiator = initiator;
        mAcceptor = acceptor;
    }

    /**
     * Delivers a message from the sender to the other end. It is lost if the link is cut before it
     * arrives, or if the receiver handles it only after the notification of the cut or the opening
     * of a new link.
     *
     * @param handling the handling of the message by the receiver
     */
    void deliver(SimulatedNode sender, Runnable handling) {
        SimulatedNode receiver = sender == mInitiator ? mAcceptor : mInitiator;
        long at = mSimulation.mScheduler.now() + mSimulation.delay();
        if (sender == mInitiator) {
            mLastArrivalAtAcceptor = Math.max(mLastArrivalAtAcceptor, at);
            at = mLastArrivalAtAcceptor;
        } else {
            mLastArrivalAtInitiator = Math.max(mLastArrivalAtInitiator, at);
            at = mLastArrivalAtInitiator;
        }
        mSimulation.mScheduler.at(
                at,
                () -> {
                    if (mOpen) {
                        receiver.run(() -> {
                            if (receiver.mLinks.get(sender) == this) {
                                handling.run();
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
        scheduleDisconnectNotice(mInitiator, mAcceptor);
        scheduleDisconnectNotice(mAcceptor, mInitiator);
    }

    private void scheduleDisconnectNotice(SimulatedNode node, SimulatedNode other) {
        mSimulation.mScheduler.after(
                mSimulation.delay(),
                () -> node.run(() -> mSimulation.notifyDisconnected(node, other, this)));
    }
}
