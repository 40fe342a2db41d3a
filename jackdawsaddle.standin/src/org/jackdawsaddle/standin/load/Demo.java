package org.jackdawsaddle.standin.load;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jackdawsaddle.config.ConfigurationHead;
import org.jackdawsaddle.config.ConfigurationSet;
import org.jackdawsaddle.config.TargetObject;
import org.jackdawsaddle.standin.fleet.Deployment;
import org.jackdawsaddle.standin.fleet.FleetSpec;
import org.jackdawsaddle.standin.fleet.LocalFleet;

/**
 * End-to-end demonstration on a {@link LocalFleet}: jobs and single requests, the failure of a
 * target, resubmissions through another entry, a configuration change, and a check of the
 * invariants at the end.
 */
public final class Demo {
    private static final int ENTRIES = 2;
    private static final long SEED = 7;
    private static final double LOAD = 0.6;
    private static final double DURATION_MILLIS = 15_000;
    private static final double KILL_AT_MILLIS = 5_000;
    private static final double DRAIN_AT_MILLIS = 8_000;
    private static final int JOBS_PER_RESUBMISSION = 5;
    private static final long MAX_PROPAGATION_MILLIS = 8_000;
    private static final double NANOS_PER_MILLI = 1e6;

    private final PrintStream mOut;
    private final FleetSpec mSpec = FleetSpec.deployment(Deployment.FJORDHORN, ENTRIES);
    private final LocalFleet mFleet = new LocalFleet(mSpec);
    private final Workload mWorkload = Workload.generate(SEED, mSpec, LOAD, DURATION_MILLIS);
    private final JobCaller mCaller =
            new JobCaller(
                    mFleet.httpClient(),
                    mFleet.clock(),
                    mFleet.httpAddresses(),
                    Deployment.FJORDHORN);
    private boolean mRevisionApplied;

    /** Creates a demonstration that prints to the given stream. */
    public Demo(PrintStream out) {
        mOut = out;
    }

    /**
     * Runs the demonstration and prints a report.
     *
     * @return whether there were no duplicate starts, no partial or contradictory answers and no
     *     starts of jobs reported as not run, and the change was in force everywhere in time
     */
    public boolean run() {
        mOut.println("Starting the store, 2 entries, 11 targets and their sidecars ...");
        List<JobCaller.JobResponse> jobResponses = new ArrayList<>();
        mFleet.start();
        try {
            submitAll().forEach(response -> jobResponses.add(response.join()));
        } finally {
            mFleet.stop();
        }
        return report(jobResponses);
    }

    private List<CompletableFuture<JobCaller.JobResponse>> submitAll() {
        mOut.printf(
                "Submitting %d jobs with %d tasks ...%n",
                mWorkload.jobs().size(), mWorkload.taskCount());
        List<CompletableFuture<JobCaller.JobResponse>> responses = new ArrayList<>();
        long start = System.nanoTime();
        boolean killed = false;
        boolean drained = false;
        for (int index = 0; index < mWorkload.jobs().size(); index++) {
            WorkloadJob job = mWorkload.jobs().get(index);
            parkUntil(start + (long) (job.arrivalMillis() * NANOS_PER_MILLI));
            if (!killed && job.arrivalMillis() >= KILL_AT_MILLIS) {
                killed = true;
                killTarget();
            }
            if (!drained && job.arrivalMillis() >= DRAIN_AT_MILLIS) {
                drained = true;
                drainTarget();
            }
            boolean resubmit = index % JOBS_PER_RESUBMISSION == 0;
            responses.add(mCaller.submit(index, job, resubmit));
        }
        return responses;
    }

    private void killTarget() {
        mOut.println("Killing target " + mFleet.targets().getFirst().spec().name() + " ...");
        CompletableFuture.runAsync(() -> mFleet.targets().getFirst().killTarget());
    }

    private void drainTarget() {
        TargetObject target =
                new TargetObject(
                        mFleet.targets().get(1).spec().name(),
                        Deployment.FJORDHORN.service(),
                        true,
                        0);
        mOut.println("Publishing that " + target.name() + " is drained ...");
        CompletableFuture.runAsync(() -> {
            ConfigurationSet set = mSpec.set();
            ConfigurationHead head =
                    mFleet.publish(
                            new ConfigurationSet(
                                    set.services(),
                                    List.of(target),
                                    set.jobKinds(),
                                    set.limits(),
                                    set.teams()),
                            "drain for the demonstration");
            mRevisionApplied = mFleet.awaitRevision(head.revision(), MAX_PROPAGATION_MILLIS);
        });
    }

    private boolean report(List<JobCaller.JobResponse> jobResponses) {
        ResponseTimes ideal =
                new PolicySimulator(Policy.IDEAL, mWorkload, mSpec, 0, SEED).run().responses();
        ResponseTimes responses = new ResponseTimes();
        jobResponses.stream()
                .filter(JobCaller.JobResponse::complete)
                .forEach(response -> responses.add(response.millis()));
        Map<String, Integer> startCounts = mFleet.startCounts();
        long duplicateStarts = startCounts.values().stream().filter(count -> count > 1).count();
        long partial = jobResponses.stream().filter(response -> !response.consistent()).count();
        long startedThoughRefused =
                jobResponses.stream()
                        .filter(response -> startedThoughRefused(response, startCounts))
                        .count();
        long notRun = jobResponses.stream().filter(JobCaller.JobResponse::notRun).count();
        long complete = jobResponses.stream().filter(JobCaller.JobResponse::complete).count();
        long messages = mFleet.messageCounts().values().stream().mapToLong(Long::longValue).sum();
        printRow("requests", jobResponses.size());
        printRow("answered whole", complete);
        printRow("refused as not run", notRun);
        printRow("failed, may have run", jobResponses.size() - complete - notRun);
        printRow("resubmitted", jobResponses.size() / JOBS_PER_RESUBMISSION);
        printRow("doubled starts", duplicateStarts);
        printRow("partial answers", partial);
        printRow("not run, but started", startedThoughRefused);
        printRow("change in force everywhere", mRevisionApplied ? "yes" : "no");
        printRow("mean response over ideal", ratio(responses.mean() / ideal.mean()));
        printRow("messages a task", ratio((double) messages / startCounts.size()));
        return duplicateStarts == 0
                && partial == 0
                && startedThoughRefused == 0
                && mRevisionApplied;
    }

    private static boolean startedThoughRefused(
            JobCaller.JobResponse response, Map<String, Integer> startCounts) {
        return response.notRun()
                && startCounts.keySet().stream().anyMatch(task -> task.startsWith(response.id()));
    }

    private static String ratio(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }

    private void printRow(String name, Object value) {
        mOut.printf("  %-28s %s%n", name, value);
    }

    private static void parkUntil(long nanos) {
        long remaining = nanos - System.nanoTime();
        while (remaining > 0) {
            LockSupport.parkNanos(Math.min(remaining, TimeUnit.SECONDS.toNanos(1)));
            remaining = nanos - System.nanoTime();
        }
    }
}
