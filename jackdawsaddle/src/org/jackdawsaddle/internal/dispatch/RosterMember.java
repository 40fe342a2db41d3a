package org.jackdawsaddle.internal.dispatch;

import org.jackdawsaddle.NodeId;

/**
 * A sidecar that the owner of a partition may use, or has used.
 *
 * @param sidecar the process
 * @param unusedSince the time in milliseconds since the epoch from which the owner starts nothing
 *     on it, or 0 while it is in use
 * @param newestIdMillis the newest timestamp among the ids started on it, once it is not in use
 */
public record RosterMember(NodeId sidecar, long unusedSince, long newestIdMillis) {

    /** Creates a member that is in use. */
    static RosterMember createInUse(NodeId sidecar) {
        return new RosterMember(sidecar, 0, 0);
    }

    /** Returns whether the owner may start tasks on it. */
    public boolean inUse() {
        return unusedSince == 0;
    }
}
