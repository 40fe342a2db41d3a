package org.jackdawsaddle.internal.pool.sidecar;

import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage.TaskReport;

/** Reports the states of runs to entries. */
interface RunReporter {
    /**
     * Reports the state of a run.
     *
     * @param owner the entry that has placed the run
     */
    void report(NodeId owner, TaskReport report);
}
