package org.jackdawsaddle.internal.dispatch;

import org.jackdawsaddle.NodeId;

/**
 * A sidecar on which the owner of a partition may start tasks, or has started some.
 *
 * @param sidecar the process
 * @param unusedSince the time in milliseconds since the epoch from which the owner starts nothing
 *     on the sidecar, or 0 while it is in use
 * @param newestIdMillis the largest timestamp among the ids started on the sidecar, once it is not
 *     in use
 */
public record RosterMember(NodeId sidecar, long unusedSince, long newestIdMillis) {

    /** Creates a member that is in use. */
    static RosterMember createEligible(NodeId sidecar) {
        return new RosterMember(sidecar, 0, 0);
    }

    /** Returns whether the owner may start tasks on the sidecar. */
    public boolean eligible() {
        return unusedSince == 0;
    }
}
