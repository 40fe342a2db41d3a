package org.jackdawsaddle.internal.dispatch;

import org.jackdawsaddle.NodeId;

/**
 * An incarnation of a sidecar in the roster of a partition. It is eligible while the owner may
 * start tasks on it, and then retired: no more tasks are started on it, but the current owner or a
 * previous one may have started some.
 *
 * @param sidecar the process
 * @param unusedSince the time of the retirement in milliseconds since the epoch, or 0 while the
 *     sidecar is eligible
 * @param newestIdMillis an upper bound of the timestamps of the submission ids whose tasks were
 *     started on the sidecar, in milliseconds since the epoch; 0 while the sidecar is eligible,
 *     when no bound is known
 */
public record RosterMember(NodeId sidecar, long unusedSince, long newestIdMillis) {

    /** Creates an eligible member. */
    static RosterMember createEligible(NodeId sidecar) {
        return new RosterMember(sidecar, 0, 0);
    }

    /** Returns whether the owner may start tasks on the sidecar, whether or not any run there. */
    public boolean eligible() {
        return unusedSince == 0;
    }
}
