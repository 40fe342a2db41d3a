package org.jackdawsaddle.pool;

import java.util.Optional;

/** The final answer to a job of a pool. */
public sealed interface PoolAnswer {

    /** Returns the kind of answer as it stands in metrics. */
    default String outcome() {
        return switch (this) {
            case Succeeded succeeded -> "succeeded";
            case Failed failed -> "failed";
            case Refused refused -> "refused";
            case Abandoned abandoned -> "abandoned";
        };
    }

    /** Returns why, or nothing where all is well. */
    default Optional<String> optionalReason() {
        return switch (this) {
            case Succeeded succeeded -> Optional.empty();
            case Failed failed -> Optional.of(failed.reason());
            case Refused refused -> Optional.of(refused.reason());
            case Abandoned abandoned -> Optional.of(abandoned.reason());
        };
    }

    /** All tasks have ended well. */
    record Succeeded() implements PoolAnswer {}

    /** A task has failed as often as its queue allows, or the job can never run. */
    record Failed(String reason) implements PoolAnswer {}

    /** Nothing was started for this request. */
    record Refused(String reason, long retryMillis) implements PoolAnswer {}

    /** The job was given up after parts of it had run; it may be sent again. */
    record Abandoned(String reason) implements PoolAnswer {}
}
