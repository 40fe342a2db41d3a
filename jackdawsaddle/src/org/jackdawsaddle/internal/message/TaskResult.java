package org.jackdawsaddle.internal.message;

/**
 * What a sidecar says of one task.
 *
 * @param task the task
 * @param state what became of it
 * @param body the target's answer, or the reason of a failure
 * @param refusal why it was not run
 * @param runMicros how long the target held the slot, in microseconds
 */
public record TaskResult(TaskKey task, State state, String body, Refusal refusal, long runMicros) {
    /** What a sidecar knows of a task. */
    public enum State {
        /** The target ended it well; the body is its answer. */
        COMPLETED,
        /** The target ended it badly, or its end is not known; the body says why. */
        FAILED,
        /** It was refused and was not and will not be started by this sidecar. */
        NOT_RUN,
        /** The target is running it. */
        RUNNING,
        /** It ended, and its answer is no longer kept. */
        FORGOTTEN
    }

    /** Why a task was not run. */
    public enum Refusal {
        /** It was run. */
        NONE,
        /** Another owner has sealed the partition. */
        SEALED,
        /** Every slot is in use. */
        NO_SLOT,
        /** The target's resources do not hold it now. */
        NO_ROOM,
        /** The target takes no new work. */
        LEAVING,
        /** Its deadline or the lifetime of its id has passed. */
        EXPIRED,
        /** It was cancelled before it started. */
        STOPPED,
        /** The target refused the connection. */
        TARGET_UNREACHABLE,
        /** The message that asked for it never arrived. */
        NOT_RECEIVED
    }

    /** Creates the result of a task that was refused. */
    public static TaskResult refused(TaskKey task, Refusal refusal) {
        return new TaskResult(task, State.NOT_RUN, "", refusal, 0);
    }

    /** Returns whether the target can no longer be running the task. */
    public boolean ended() {
        return state != State.RUNNING;
    }
}
