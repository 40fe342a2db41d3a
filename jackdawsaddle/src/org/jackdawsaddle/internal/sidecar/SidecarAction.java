package org.jackdawsaddle.internal.sidecar;

import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.SidecarMessage;
import org.jackdawsaddle.internal.message.StartTask;
import org.jackdawsaddle.internal.message.TaskKey;

/** An action that {@link SidecarCore} asks the process to perform. */
public sealed interface SidecarAction {

    /**
     * Sends a message to an entry.
     *
     * @param entry the receiver
     * @param message the message
     */
    record SendToEntry(NodeId entry, SidecarMessage message) implements SidecarAction {}

    /**
     * Runs a task on the target.
     *
     * @param task the start request of the task
     * @param address the address at which the target accepts tasks, as host:port
     * @param deadline the time in milliseconds since the epoch at which the call times out
     */
    record RunTask(StartTask task, String address, long deadline) implements SidecarAction {}

    /**
     * Asks the target to stop a task.
     *
     * @param task the task
     * @param address the address at which the target accepts tasks, as host:port
     */
    record StopTask(TaskKey task, String address) implements SidecarAction {}
}
