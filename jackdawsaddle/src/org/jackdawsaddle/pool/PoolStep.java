package org.jackdawsaddle.pool;

import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.config.Demand;

/**
 * A group of tasks of a job with the same requirements.
 *
 * @param tasks the number of tasks
 * @param demand the resources that each task needs of its target
 * @param expectedMillis the declared run time of each task, in milliseconds
 * @param after the indexes of earlier steps of the job, from 0, that must be done first
 * @param requiredLabel a label that the target must have
 * @param preferredLabel a label of targets near the data, which are chosen first
 * @param maxPerTarget the most tasks of the step that may run on one target at a time; 0 for any
 *     number
 */
public record PoolStep(
        int tasks,
        Demand demand,
        long expectedMillis,
        List<Integer> after,
        Optional<String> requiredLabel,
        Optional<String> preferredLabel,
        int maxPerTarget) {

    /** Takes an unmodifiable copy of the list. */
    public PoolStep {
        after = List.copyOf(after);
    }
}
