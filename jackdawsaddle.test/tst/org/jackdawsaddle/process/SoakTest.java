package org.jackdawsaddle.process;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs the platform's roles, entry and sidecar, as processes, injects faults while callers submit
 * jobs, and checks the invariants that callers and workers can observe.
 *
 * <p>By default the seeds in {@link #DEFAULT_SEEDS} are run, which contain every seed that has ever
 * failed. {@code -Dsoak.seeds} runs that number of consecutive seeds instead, from {@code
 * -Dsoak.seed} (0 if absent), which has no effect alone. {@code -Dsoak.seconds} is the duration of
 * the faults for each seed (8 if absent), and {@code -Dsoak.network} the second octet of the
 * loopback addresses (90 if absent), distinct for tests that run at the same time.
 */
public class SoakTest {
    /**
     * Seed 1, followed by the seeds that have failed:
     *
     * <ul>
     *   <li>101: an entry that had been frozen ran a job that its caller had resent to another
     *       entry.
     *   <li>205: SIGHUP terminated a process whose role did not handle the signal yet.
     * </ul>
     */
    private static final List<Long> DEFAULT_SEEDS = List.of(1L, 101L, 205L);

    private static final long FIRST_SEED = Long.getLong("soak.seed", 0);
    private static final int SEED_COUNT = Integer.getInteger("soak.seeds", 0);
    private static final long FAULT_MILLIS = 1_000 * Long.getLong("soak.seconds", 8);
    private static final int LOOPBACK_NETWORK = Integer.getInteger("soak.network", 90);

    /**
     * The specified limit of 12 s from the end of all faults until all entries are ready; also the
     * limit for the first start.
     */
    private static final long MAX_RECOVERY_MILLIS = 12_000;

    private static final long POLL_INTERVAL_MILLIS = 50;

    /** The specified limit of 2 s from a publication until it is in force on all entries. */
    private static final long MAX_PROPAGATION_MILLIS = 2_000;

    /** How long jobs are submitted after the faults. */
    private static final long LOAD_AFTER_FAULTS_MILLIS = 1_000;

    /**
     * The share of the jobs submitted after the faults that must succeed. Jobs that reach a target
     * on probation may still fail.
     */
    private static final double MIN_SUCCEEDED_SHARE = 0.9;

    @DataProvider
    public Object[][] seeds() {
        List<Long> seeds = new ArrayList<>();
        if (SEED_COUNT == 0) {
            seeds.addAll(DEFAULT_SEEDS);
        }
        IntStream.range(0, SEED_COUNT).forEach(number -> seeds.add(FIRST_SEED + number));
        return seeds.stream().map(seed -> new Object[] {seed}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void keepsInvariantsUnderFaults(long seed) {
        SoakFleet fleet = new SoakFleet(LOOPBACK_NETWORK);
        SoakMonitor monitor = new SoakMonitor(fleet.mWorkers);
        SoakCallers callers = new SoakCallers(fleet, seed);
        SoakFaults faults = new SoakFaults(fleet, seed);
        List<String> violations = new ArrayList<>();
        fleet.start();
        try {
            monitor.start();
            await(fleet, violations, "before the faults");
            Thread callerThread = Thread.ofPlatform().start(() -> callers.run(FAULT_MILLIS));
            faults.run(FAULT_MILLIS);
            callerThread.join();
            checkRecovery(fleet, monitor, seed, violations);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            monitor.stop();
            fleet.stop();
        }
        violations.addAll(fleet.mUnexpectedExits);
        violations.addAll(monitor.violations());
        violations.addAll(callers.violations(monitor.startedTasks()));
        System.out.printf(
                "soak seed %d: %d jobs, %d succeeded, %d faults, %d violations, logs in %s%n",
                seed,
                callers.sentJobs(),
                callers.succeededJobs(),
                faults.injected().size(),
                violations.size(),
                fleet.mFolder);
        String context = "seed " + seed + ", logs in " + fleet.mFolder + ", " + faults.injected();
        assertEquals(String.join("\n", violations), "", context);
    }

    /**
     * Checks that after the faults all entries are ready, have the last configuration in force and
     * serve jobs, and that no worker runs a task after the last answer.
     */
    private static void checkRecovery(
            SoakFleet fleet, SoakMonitor monitor, long seed, List<String> violations) {
        long version = fleet.publish();
        await(fleet, violations, "after the faults");
        ProcessFleet.sleep(MAX_PROPAGATION_MILLIS);
        for (int entry = 0; entry < SoakFleet.ENTRIES; entry++) {
            long applied = fleet.appliedVersion(entry);
            if (applied != version) {
                violations.add(
                        "entry " + entry + " has configuration " + applied + ", not " + version);
            }
        }
        // Another seed than that of the callers under faults, so that the job ids are new.
        SoakCallers callersAfterFaults = new SoakCallers(fleet, ~seed);
        callersAfterFaults.run(LOAD_AFTER_FAULTS_MILLIS);
        if (callersAfterFaults.succeededJobs()
                < MIN_SUCCEEDED_SHARE * callersAfterFaults.sentJobs()) {
            violations.add(
                    "succeeded after the faults: "
                            + callersAfterFaults.succeededJobs()
                            + " of "
                            + callersAfterFaults.sentJobs());
        }
        violations.addAll(callersAfterFaults.violations(monitor.startedTasks()));
        if (!monitor.idle()) {
            violations.add("orphaned runs: workers still run tasks after the last answer");
        }
    }

    /** Waits until all entries are ready, or adds a violation after 12 s. */
    private static void await(SoakFleet fleet, List<String> violations, String stage) {
        long deadline = fleet.mClock.now() + MAX_RECOVERY_MILLIS;
        while (!IntStream.range(0, SoakFleet.ENTRIES).allMatch(fleet::ready)) {
            if (fleet.mClock.now() > deadline) {
                violations.add("not all entries were ready within 12 s: " + stage);
                return;
            }
            ProcessFleet.sleep(POLL_INTERVAL_MILLIS);
        }
    }
}
