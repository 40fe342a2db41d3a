package org.jackdawsaddle.internal.dispatch;

import org.jackdawsaddle.NodeId;

/** A recipient of the answer to a job. */
sealed interface Waiter {

    /**
     * A caller of this entry.
     *
     * @param token the number of the caller's request
     */
    record LocalCaller(long token) implements Waiter {}

    /**
     * A peer that forwarded the job.
     *
     * @param peer the process
     * @param token the number by which the peer matches the answer to the job
     */
    record Peer(NodeId peer, long token) implements Waiter {}
}
