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
 * The demonstration of the whole path: jobs and single requests, a target that dies, resubmissions
 * through another entry, a change of configuration, and a check of the promises at the end.
 */
public final class Demo {
    private static final int ENTRIES = 2;
    private static final long SEED = 7;
    private static final double LOAD = 0.6;
    private static final double DURATION_MILLIS = 15_000;
    private static final double KILL_AT_MILLIS = 5_000;
    private static final double DRAIN_AT_MILLIS = 8_000;
    private static final int RESUBMIT_EVERY = 5;
    private static final long IN_FORCE_MILLIS = 8_000;
    private static final double NANOS_PER_MILLI = 1e6;

    private final PrintStream mOut;
    private final FleetSpec mSpec = FleetSpec.deployment(Deployment.FJORDHORN, ENTRIES);
    private final LocalFleet mFleet = new LocalFleet(mSpec);
    private final WorkloadTrace mTrace = WorkloadTrace.generate(SEED, mSpec, LOAD, DURATION_MILLIS);
    private final JobCaller mCaller =
            new JobCaller(
                    mFleet.caller(), mFleet.clock(), mFleet.httpAddresses(), Deployment.FJORDHORN);
    private boolean mInForce;

    /** Creates a demonstration that prints to the given stream. */
    public Demo(PrintStream out) {
        mOut = out;
    }

    /** Runs the demonstration; returns whether the promises held. */
    public boolean run() {
        mOut.println("Starting the store, 2 entries, 11 targets and their sidecars ...");
        List<JobCaller.Answered> ended = new ArrayList<>();
        mFleet.start();
        try {
            submitAll().forEach(answer -> ended.add(answer.join()));
        } finally {
            mFleet.stop();
        }
        return report(ended);
    }

    private List<CompletableFuture<JobCaller.Answered>> submitAll() {
        mOut.printf("Submitting %d jobs with %d tasks ...%n", mTrace.jobs().size(), mTrace.tasks());
        List<CompletableFuture<JobCaller.Answered>> answers = new ArrayList<>();
        long start = System.nanoTime();
        boolean killed = false;
        boolean drained = false;
        for (int index = 0; index < mTrace.jobs().size(); index++) {
            TraceJob job = mTrace.jobs().get(index);
            await(start + (long) (job.arrivalMillis() * NANOS_PER_MILLI));
            if (!killed && job.arrivalMillis() >= KILL_AT_MILLIS) {
                killed = true;
                kill();
            }
            if (!drained && job.arrivalMillis() >= DRAIN_AT_MILLIS) {
                drained = true;
                drain();
            }
            boolean resubmit = index % RESUBMIT_EVERY == 0;
            answers.add(mCaller.submit(index, job, resubmit));
        }
        return answers;
    }

    private void kill() {
        mOut.println("Killing target " + mFleet.targets().getFirst().spec().name() + " ...");
        CompletableFuture.runAsync(() -> mFleet.targets().getFirst().killTarget());
    }

    private void drain() {
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
            mInForce = mFleet.awaitRevision(head.revision(), IN_FORCE_MILLIS);
        });
    }

    private boolean report(List<JobCaller.Answered> ended) {
        Responses ideal = new PolicyModel(Policy.IDEAL, mTrace, mSpec, 0, SEED).run().responses();
        Responses responses = new Responses();
        ended.stream()
                .filter(JobCaller.Answered::complete)
                .forEach(one -> responses.add(one.millis()));
        Map<String, Integer> starts = mFleet.starts();
        long doubled = starts.values().stream().filter(count -> count > 1).count();
        long partial = ended.stream().filter(one -> !one.whole()).count();
        long lied = ended.stream().filter(one -> lied(one, starts)).count();
        long notRun = ended.stream().filter(JobCaller.Answered::notRun).count();
        long complete = ended.stream().filter(JobCaller.Answered::complete).count();
        long messages = mFleet.messages().values().stream().mapToLong(Long::longValue).sum();
        row("requests", ended.size());
        row("answered whole", complete);
        row("refused as not run", notRun);
        row("failed, may have run", ended.size() - complete - notRun);
        row("resubmitted", ended.size() / RESUBMIT_EVERY);
        row("doubled starts", doubled);
        row("partial answers", partial);
        row("not run, but started", lied);
        row("change in force everywhere", mInForce ? "yes" : "no");
        row("mean response over ideal", ratio(responses.mean() / ideal.mean()));
        row("messages a task", ratio((double) messages / starts.size()));
        return doubled == 0 && partial == 0 && lied == 0 && mInForce;
    }

    private static boolean lied(JobCaller.Answered one, Map<String, Integer> starts) {
        return one.notRun() && starts.keySet().stream().anyMatch(task -> task.startsWith(one.id()));
    }

    private static String ratio(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }

    private void row(String name, Object value) {
        mOut.printf("  %-28s %s%n", name, value);
    }

    private static void await(long nanos) {
        long remaining = nanos - System.nanoTime();
        while (remaining > 0) {
            LockSupport.parkNanos(Math.min(remaining, TimeUnit.SECONDS.toNanos(1)));
            remaining = nanos - System.nanoTime();
        }
    }
}
