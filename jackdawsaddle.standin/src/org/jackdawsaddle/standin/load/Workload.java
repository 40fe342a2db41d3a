package org.jackdawsaddle.standin.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jackdawsaddle.standin.fleet.FleetSpec;
import org.jackdawsaddle.standin.fleet.TargetSpec;

/**
 * A sequence of jobs with their arrivals. Generated workloads have Poisson arrivals of single
 * requests and of jobs of up to 160 tasks. Most tasks take between 50 ms and a second, a few take
 * several seconds; declared run times are off by a log-normal factor.
 *
 * @param jobs the jobs in the order of their arrival
 */
public record Workload(List<WorkloadJob> jobs) {
    private static final double SINGLE_SHARE = 0.5;
    private static final double MAX_TASKS = 160;
    private static final double MEDIAN_WORK_MILLIS = 180;
    private static final double WORK_SIGMA = 0.8;
    private static final double MIN_WORK_MILLIS = 50;
    private static final double MAX_WORK_MILLIS = 5_000;
    private static final double DECLARATION_SIGMA = 0.5;
    private static final int SAMPLES = 100_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Copies the list of jobs. */
    public Workload {
        jobs = List.copyOf(jobs);
    }

    /**
     * Generates a workload.
     *
     * @param seed the seed of all random choices
     * @param load the fraction of the fleet's capacity that the workload uses
     * @param durationMillis the last job arrives at or just after this time, in milliseconds from
     *     the start of the workload
     */
    public static Workload generate(
            long seed, FleetSpec fleet, double load, double durationMillis) {
        Random random = new Random(seed);
        double capacity = fleet.targets().stream().mapToDouble(Workload::workPerMilli).sum();
        double jobsPerMilli = load * capacity / (meanTasksPerJob() * meanWorkMillis());
        List<WorkloadJob> jobs = new ArrayList<>();
        double arrivalMillis = 0;
        while (arrivalMillis < durationMillis) {
            arrivalMillis += -Math.log(1 - random.nextDouble()) / jobsPerMilli;
            jobs.add(new WorkloadJob(arrivalMillis, tasks(random)));
        }
        return new Workload(jobs);
    }

    /** Returns the number of tasks of all jobs. */
    public int taskCount() {
        return jobs.stream().mapToInt(job -> job.tasks().size()).sum();
    }

    /** Returns the work, in milliseconds at speed 1, that a target can do per millisecond. */
    private static double workPerMilli(TargetSpec target) {
        return target.slots() * target.speed();
    }

    private static List<WorkloadTask> tasks(Random random) {
        int count = 1;
        if (random.nextDouble() >= SINGLE_SHARE) {
            count = (int) Math.round(Math.exp(random.nextDouble() * Math.log(MAX_TASKS)));
        }
        List<WorkloadTask> tasks = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            double workMillis = workMillis(random);
            double declarationFactor = Math.exp(DECLARATION_SIGMA * random.nextGaussian());
            tasks.add(
                    new WorkloadTask(
                            workMillis, Math.max(1, Math.round(workMillis * declarationFactor))));
        }
        return tasks;
    }

    private static double workMillis(Random random) {
        double workMillis = MEDIAN_WORK_MILLIS * Math.exp(WORK_SIGMA * random.nextGaussian());
        return Math.clamp(workMillis, MIN_WORK_MILLIS, MAX_WORK_MILLIS);
    }

    /**
     * Returns the mean number of tasks of a job, which is 1 or, in half of the jobs, log-uniform.
     */
    private static double meanTasksPerJob() {
        double logMean = (MAX_TASKS - 1) / Math.log(MAX_TASKS);
        return SINGLE_SHARE + (1 - SINGLE_SHARE) * logMean;
    }

    /** Returns an estimate of the mean work of a task from a sample with a fixed seed. */
    private static double meanWorkMillis() {
        Random random = new Random(SAMPLES);
        double sum = 0;
        for (int sample = 0; sample < SAMPLES; sample++) {
            sum += workMillis(random);
        }
        return sum / SAMPLES;
    }

    /** Returns the time of the last arrival, in milliseconds from the start of the workload. */
    public double endMillis() {
        return jobs.isEmpty() ? 0 : jobs.getLast().arrivalMillis();
    }

    /** Returns the rate of tasks per second. */
    public double tasksPerSecond() {
        return taskCount() / endMillis() * MILLIS_PER_SECOND;
    }
}
