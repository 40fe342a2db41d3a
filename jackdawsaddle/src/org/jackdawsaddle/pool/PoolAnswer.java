package org.jackdawsaddle.pool;

import java.util.Optional;

/** The final answer to a job of a pool. */
public sealed interface PoolAnswer {

    /** Returns the kind of answer, as written in metrics and logs. */
    default String outcome() {
        return switch (this) {
            case Succeeded succeeded -> "succeeded";
            case Failed failed -> "failed";
            case Refused refused -> "refused";
            case Abandoned abandoned -> "abandoned";
        };
    }

    /** Returns the reason for anything but success; empty for success. */
    default Optional<String> optionalReason() {
        return switch (this) {
            case Succeeded succeeded -> Optional.empty();
            case Failed failed -> Optional.of(failed.reason());
            case Refused refused -> Optional.of(refused.reason());
            case Abandoned abandoned -> Optional.of(abandoned.reason());
        };
    }

    /** All tasks have succeeded. */
    record Succeeded() implements PoolAnswer {}

    /**
     * A task has failed as often as its queue allows, or the job has no tasks or fits no target.
     */
    record Failed(String reason) implements PoolAnswer {}

    /**
     * No task was started for this request.
     *
     * @param retryMillis after how long the caller may retry, in milliseconds
     */
    record Refused(String reason, long retryMillis) implements PoolAnswer {}

    /**
     * The job was ended without result, possibly after some tasks had run; it may be sent again.
     */
    record Abandoned(String reason) implements PoolAnswer {}
}
