package org.jackdawsaddle.internal.message;

/**
 * The state of one task at a sidecar.
 *
 * @param task the identity of the task
 * @param state the state
 * @param body the target's answer, or the reason for a failure
 * @param refusal the reason for which the task was not run
 * @param runMicros how long the task occupied its slot, in microseconds
 */
public record TaskResult(TaskKey task, State state, String body, Refusal refusal, long runMicros) {
    /** The state of a task. */
    public enum State {
        /** The target completed the task; the body is its answer. */
        COMPLETED,
        /** The task failed, or its outcome is unknown; the body gives the reason. */
        FAILED,
        /** The start was refused; this request has not started the task, and will not. */
        NOT_RUN,
        /** The target is running the task. */
        RUNNING,
        /** The task has ended, but its answer has been evicted. */
        FORGOTTEN
    }

    /** The reason for which a task was not run. */
    public enum Refusal {
        /** No refusal. */
        NONE,
        /** The sender is not the current owner of the partition. */
        SEALED,
        /** Every slot is in use. */
        NO_SLOT,
        /** The free resources of the target are insufficient. */
        NO_ROOM,
        /** The target accepts no new tasks. */
        LEAVING,
        /** The deadline or the lifetime of the submission id has passed. */
        EXPIRED,
        /** The task was cancelled before it started. */
        STOPPED,
        /** The target refused the connection. */
        TARGET_UNREACHABLE,
        /** The start request did not arrive. */
        NOT_RECEIVED
    }

    /** Creates the result of a refused start. */
    public static TaskResult refused(TaskKey task, Refusal refusal) {
        return new TaskResult(task, State.NOT_RUN, "", refusal, 0);
    }

    /** Returns whether the task is not running at the target any more, or never was. */
    public boolean ended() {
        return state != State.RUNNING;
    }
}
