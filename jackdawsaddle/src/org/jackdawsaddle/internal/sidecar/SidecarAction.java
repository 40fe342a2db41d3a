package org.jackdawsaddle.internal.sidecar;

import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.SidecarMessage;
import org.jackdawsaddle.internal.message.StartTask;
import org.jackdawsaddle.internal.message.TaskKey;

/** Whatever the decisions of a sidecar ask the process to do. */
public sealed interface SidecarAction {

    /**
     * Send a message to an entry.
     *
     * @param entry the receiver
     * @param message the message
     */
    record SendToEntry(NodeId entry, SidecarMessage message) implements SidecarAction {}

    /**
     * Give a task to the target.
     *
     * @param task the task
     * @param address where the target takes tasks, as host:port
     * @param deadline when its answer is of no more use, in milliseconds since the epoch
     */
    record RunTask(StartTask task, String address, long deadline) implements SidecarAction {}

    /**
     * Ask the target to stop a task.
     *
     * @param task the task
     * @param address where the target takes tasks, as host:port
     */
    record StopTask(TaskKey task, String address) implements SidecarAction {}
}
