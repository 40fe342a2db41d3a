package org.jackdawsaddle.trace;

import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.dispatch.EntryRecord;
import org.jackdawsaddle.internal.dispatch.Layout;
import org.jackdawsaddle.internal.dispatch.QueueOrder;

/**
 * The first line of a trace: the recorded process and the constructor arguments of its core, except
 * the random source of an entry, on which no decision depends.
 */
public sealed interface TraceHeader {

    /**
     * The header of an entry's trace.
     *
     * @param self the record of the entry
     * @param layout the layout that the entry writes if the store has none
     * @param queueOrder the order in which the entry serves queued jobs
     */
    record OfEntry(EntryRecord self, Layout layout, QueueOrder queueOrder) implements TraceHeader {}

    /**
     * The header of a sidecar's trace.
     *
     * @param self the name and incarnation of the sidecar
     * @param dataCentre the data centre of the sidecar
     * @param startedAt the start of the process in milliseconds since the epoch
     */
    record OfSidecar(NodeId self, String dataCentre, long startedAt) implements TraceHeader {}
}
