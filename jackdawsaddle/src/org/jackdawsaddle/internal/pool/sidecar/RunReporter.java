package org.jackdawsaddle.internal.pool.sidecar;

import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.internal.message.PoolMessage.Run;

/** Reports the state of a run to the entry that owns it. */
interface RunReporter {
    void report(NodeId owner, Run run, ReportKind kind);
}
