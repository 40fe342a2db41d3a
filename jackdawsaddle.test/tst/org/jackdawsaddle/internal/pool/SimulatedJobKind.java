package org.jackdawsaddle.internal.pool;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.pool.PoolJob;
import org.jackdawsaddle.pool.PoolQueue;
import org.jackdawsaddle.pool.PoolStep;

/**
 * A kind of job of a simulated load. Sizes spread around their means, and declared run times are
 * wrong by up to 40%.
 *
 * @param name the name of its queue
 * @param priority the priority of its queue
 * @param maxAttempts the attempts that its queue allows
 * @param tasks the mean number of tasks
 * @param taskMillis the mean run time of a task at speed 1, in milliseconds
 * @param cores the mean number of cores of a task
 * @param jobsPerSecond the mean arrival rate
 */
record SimulatedJobKind(
        String name,
        int priority,
        int maxAttempts,
        int tasks,
        double taskMillis,
        double cores,
        double jobsPerSecond) {
    static final double STRETCH = 1.6;
    static final long TARGET_MILLIS = 60;
    static final long PATIENCE_MILLIS = 1_500;
    private static final double SIZE_SPREAD = 0.4;
    private static final double CORES_SPREAD = 0.2;
    private static final double MAX_DECLARED_ERROR = 0.4;
    private static final double MAX_TASKS_MULTIPLE = 4;

    /**
     * A job of the kind.
     *
     * @param job the job as its caller submits it
     * @param objectiveMillis the response time objective, from the true run time
     * @param coreMillis the true work of all tasks at speed 1, in core milliseconds
     */
    record Drawn(PoolJob job, long objectiveMillis, double coreMillis) {}

    PoolQueue queue() {
        return new PoolQueue(
                name,
                "h",
                "/" + name + "/",
                PoolShape.SERVICE,
                priority,
                maxAttempts,
                STRETCH,
                TARGET_MILLIS,
                PATIENCE_MILLIS);
    }

    /** Returns the mean work that arrives in a second, in core seconds at speed 1. */
    double coresNeeded() {
        return jobsPerSecond * tasks * cores * taskMillis / 1_000;
    }

    /** Returns a job that arrives now, its sizes drawn at random. */
    Drawn draw(String id, Random random, long now) {
        int width = (int) Math.clamp(Math.round(spread(random, tasks, SIZE_SPREAD)), 1, maxTasks());
        double millis = spread(random, taskMillis, SIZE_SPREAD);
        double taskCores = spread(random, cores, CORES_SPREAD);
        double error = 1 + MAX_DECLARED_ERROR * (2 * random.nextDouble() - 1);
        long objective = Math.round(STRETCH * millis) + TARGET_MILLIS;
        PoolStep step =
                new PoolStep(
                        width,
                        new Demand(taskCores, 64, 0),
                        Math.max(1, Math.round(millis * error)),
                        List.of(),
                        Optional.empty(),
                        Optional.empty(),
                        0);
        PoolJob job =
                new PoolJob(
                        id,
                        name,
                        millis + " " + taskCores,
                        List.of(step),
                        now + Math.max(PATIENCE_MILLIS, 3 * objective));
        return new Drawn(job, objective, width * millis * taskCores);
    }

    private long maxTasks() {
        return Math.round(MAX_TASKS_MULTIPLE * tasks);
    }

    /** Returns a log-normal value with the given mean and relative spread. */
    private static double spread(Random random, double mean, double relativeSpread) {
        double sigma = Math.sqrt(StrictMath.log1p(relativeSpread * relativeSpread));
        return mean * StrictMath.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
    }
}
