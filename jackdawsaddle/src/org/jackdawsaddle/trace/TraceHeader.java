package org.jackdawsaddle.trace;

import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.dispatch.EntryRecord;
import org.jackdawsaddle.internal.dispatch.Layout;
import org.jackdawsaddle.internal.dispatch.QueueOrder;

/** The first line of a trace: whose decisions it holds, and what they were created with. */
public sealed interface TraceHeader {

    /**
     * The decisions of an entry.
     *
     * @param self the process
     * @param layout the layout that it writes if the store has none
     * @param queueOrder the order in which it serves waiting jobs
     */
    record OfEntry(EntryRecord self, Layout layout, QueueOrder queueOrder) implements TraceHeader {}

    /**
     * The decisions of a sidecar.
     *
     * @param self the process
     * @param dataCentre where it stands
     * @param startedAt its start, in milliseconds since the epoch
     */
    record OfSidecar(NodeId self, String dataCentre, long startedAt) implements TraceHeader {}
}
