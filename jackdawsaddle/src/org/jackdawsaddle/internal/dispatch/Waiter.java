package org.jackdawsaddle.internal.dispatch;

import org.jackdawsaddle.NodeId;

/** Whoever waits for the answer to a job. */
sealed interface Waiter {

    /**
     * A caller of this entry.
     *
     * @param token the number of its request
     */
    record LocalCaller(long token) implements Waiter {}

    /**
     * A peer that passed the job on.
     *
     * @param peer the process
     * @param token the number that the peer gave
     */
    record Peer(NodeId peer, long token) implements Waiter {}
}
