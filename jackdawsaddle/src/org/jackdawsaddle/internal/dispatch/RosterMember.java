package org.jackdawsaddle.internal.dispatch;

import org.jackdawsaddle.NodeId;

/**
 * A sidecar that the owner of a partition may use, or has used.
 *
 * @param sidecar the process
 * @param unusedSince the time in milliseconds since the epoch from which the owner starts nothing
 *     on it, or 0 while it is in use
 */
public record RosterMember(NodeId sidecar, long unusedSince) {

    /** Returns whether the owner may start tasks on it. */
    public boolean inUse() {
        return unusedSince == 0;
    }
}
