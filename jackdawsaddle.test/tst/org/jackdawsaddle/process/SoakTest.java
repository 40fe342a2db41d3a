package org.jackdawsaddle.process;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs the roles on the platform as processes, injects faults while callers submit jobs, and checks
 * the invariants that callers and workers can observe.
 *
 * <p>Every seed that has ever failed is in {@link #REGRESSIONS}. Other seeds are run with {@code
 * -Dsoak.seed} (the first seed) and {@code -Dsoak.seeds} (their number). {@code -Dsoak.seconds} is
 * the duration of the faults for each seed, and {@code -Dsoak.network} the second octet of the
 * loopback addresses, distinct for tests that run at the same time.
 */
public class SoakTest {
    /**
     * The default seed, followed by the seeds that have failed:
     *
     * <ul>
     *   <li>101: an entry that had been frozen ran a job that its caller had resent to another
     *       entry.
     *   <li>205: SIGHUP terminated a process whose role did not watch its settings yet.
     * </ul>
     */
    private static final List<Long> REGRESSIONS = List.of(1L, 101L, 205L);

    private static final long FIRST_SEED = Long.getLong("soak.seed", 0);
    private static final int SEED_COUNT = Integer.getInteger("soak.seeds", 0);
    private static final long FAULT_MILLIS = 1_000 * Long.getLong("soak.seconds", 8);
    private static final int LOOPBACK_NETWORK = Integer.getInteger("soak.network", 90);

    /** The specified limit of 12 s from the end of all faults until all entries are ready. */
    private static final long MAX_RECOVERY_MILLIS = 12_000;

    private static final long POLL_INTERVAL_MILLIS = 50;

    /** The specified limit of 2 s from a publication until it is in force everywhere. */
    private static final long MAX_PROPAGATION_MILLIS = 2_000;

    private static final long RECOVERED_LOAD_MILLIS = 1_000;

    /** After the faults, only jobs that reach a target on probation may still fail. */
    private static final double MIN_SERVED_SHARE = 0.9;

    @DataProvider
    public Object[][] seeds() {
        List<Long> seeds = new ArrayList<>();
        if (SEED_COUNT == 0) {
            seeds.addAll(REGRESSIONS);
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
            await(fleet, violations, "ready before the faults");
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
     * serve jobs, and that no run is orphaned.
     */
    private static void checkRecovery(
            SoakFleet fleet, SoakMonitor monitor, long seed, List<String> violations) {
        long version = fleet.publish();
        await(fleet, violations, "ready after the faults");
        ProcessFleet.sleep(MAX_PROPAGATION_MILLIS);
        for (int entry = 0; entry < SoakFleet.ENTRIES; entry++) {
            long applied = fleet.appliedVersion(entry);
            if (applied != version) {
                violations.add("entry " + entry + " has version " + applied + ", not " + version);
            }
        }
        SoakCallers recovered = new SoakCallers(fleet, ~seed);
        recovered.run(RECOVERED_LOAD_MILLIS);
        if (recovered.succeededJobs() < MIN_SERVED_SHARE * recovered.sentJobs()) {
            violations.add(
                    "succeeded after the faults: "
                            + recovered.succeededJobs()
                            + " of "
                            + recovered.sentJobs());
        }
        violations.addAll(recovered.violations(monitor.startedTasks()));
        if (!monitor.idle()) {
            violations.add("orphaned runs remain");
        }
    }

    private static void await(SoakFleet fleet, List<String> violations, String what) {
        long deadline = fleet.mClock.now() + MAX_RECOVERY_MILLIS;
        while (!IntStream.range(0, SoakFleet.ENTRIES).allMatch(fleet::ready)) {
            if (fleet.mClock.now() > deadline) {
                violations.add("not " + what);
                return;
            }
            ProcessFleet.sleep(POLL_INTERVAL_MILLIS);
        }
    }
}
