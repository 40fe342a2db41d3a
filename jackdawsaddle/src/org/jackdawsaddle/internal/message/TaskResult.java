package org.jackdawsaddle.internal.message;

/**
 * The state of one task at a sidecar.
 *
 * @param task the identity of the task
 * @param state the state
 * @param body the target's answer, or the reason for a failure; empty in the other states
 * @param refusal the reason for which the task was not run, or {@link Refusal#NONE}
 * @param runMicros how long the task occupied its slot, in microseconds; 0 if it has not run or has
 *     not ended
 */
public record TaskResult(TaskKey task, State state, String body, Refusal refusal, long runMicros) {
    /**
     * The state of a task. The ordinals are the wire format: constants are only added at the end.
     */
    public enum State {
        /** The target completed the task; the body is its answer. */
        COMPLETED,
        /** The task failed, or its outcome is unknown; the body gives the reason. */
        FAILED,
        /**
         * The start request was refused or not received, and cannot start the task any more;
         * another request may have started it.
         */
        NOT_RUN,
        /** The target is running the task. */
        RUNNING,
        /** The task has ended, but its answer has been evicted. */
        FORGOTTEN
    }

    /**
     * The reason for which a task was not run. The ordinals are the wire format: constants are only
     * added at the end.
     */
    public enum Refusal {
        /** No refusal. */
        NONE,
        /** The epoch of the start is not the one in force for the partition. */
        SEALED,
        /** Every slot is in use. */
        NO_SLOT,
        /** The free resources of the target are insufficient. */
        NO_ROOM,
        /**
         * The target is drained or has no valid announcement, or the sidecar is leaving or has no
         * configuration yet.
         */
        LEAVING,
        /** The deadline or the lifetime of the submission id has passed. */
        EXPIRED,
        /** A stop of the task arrived before its start. */
        STOPPED,
        /** The connection to the target could not be opened. */
        TARGET_UNREACHABLE,
        /** The start request has not reached the sidecar; set by the entry. */
        NOT_RECEIVED
    }

    /** Creates the result of a refused start. */
    public static TaskResult refused(TaskKey task, Refusal refusal) {
        return new TaskResult(task, State.NOT_RUN, "", refusal, 0);
    }

    /** Returns whether the target is not running the task; true also if it never started. */
    public boolean ended() {
        return state != State.RUNNING;
    }
}
