package org.jackdawsaddle.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Comparator;
import java.util.stream.IntStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/**
 * Runs a new fleet for each test, and checks that no run of a task starts before the previous one
 * has ended.
 */
public abstract class DoubledRunTestBase {
    /** How long after the last fault the runs are watched. */
    static final long WATCH_MILLIS = 1_000;

    /** Time from the submission of jobs until all their runs are known to everyone. */
    static final long SETTLE_MILLIS = 400;

    private static final long READY_TIMEOUT_MILLIS = 12_000;

    /** How long a busy machine may need until the first repeated run starts. */
    private static final long REPEATED_TIMEOUT_MILLIS = 5_000;

    private static final long POLL_INTERVAL_MILLIS = 10;

    /** Time until all workers have announced themselves, from when the entries are ready. */
    private static final long DISCOVERY_MILLIS = 1_200;

    private final int mNetwork;
    SoakFleet mFleet;

    /**
     * @param network the second octet of the loopback addresses
     */
    DoubledRunTestBase(int network) {
        mNetwork = network;
    }

    @BeforeMethod
    public void startFleet() {
        mFleet = new SoakFleet(mNetwork, true);
        mFleet.start();
        long deadline = mFleet.mClock.now() + READY_TIMEOUT_MILLIS;
        while (!IntStream.range(0, SoakFleet.ENTRIES).allMatch(mFleet::ready)) {
            assertTrue(mFleet.mClock.now() < deadline, "entries ready");
            ProcessFleet.sleep(POLL_INTERVAL_MILLIS);
        }
        ProcessFleet.sleep(DISCOVERY_MILLIS);
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.stop();
    }

    /** Returns the worker with the most runs, or any of these. */
    int busiestWorker() {
        return IntStream.range(0, SoakFleet.WORKERS)
                .boxed()
                .max(
                        Comparator.comparingInt(
                                worker -> mFleet.mWorkers.get(worker).runningTasks().size()))
                .orElseThrow();
    }

    /**
     * Watches the runs for a while and prints the shortest time between two runs of a task. Fails
     * if any of them overlap, or if none was repeated.
     */
    void check(String scenario) {
        ProcessFleet.sleep(WATCH_MILLIS);
        RunMargins margins = awaitRepeatedRuns();
        checkNoneConcurrent(scenario, margins);
        assertTrue(margins.repeatedRuns() > 0, "runs were repeated: " + scenario);
    }

    /** The same where no run needs to be repeated. */
    void checkNoneConcurrent(String scenario) {
        ProcessFleet.sleep(WATCH_MILLIS);
        checkNoneConcurrent(scenario, margins());
    }

    private void checkNoneConcurrent(String scenario, RunMargins margins) {
        System.out.printf(
                "doubled runs, %s: %d runs repeated, shortest time between: %d ms, logs in %s%n",
                scenario,
                margins.repeatedRuns(),
                margins.smallestMillis().orElse(Long.MAX_VALUE),
                mFleet.mFolder);
        assertEquals(String.join("\n", margins.concurrentRuns()), "", scenario);
    }

    /** Returns the times between runs once there are any, or none after a time-out. */
    private RunMargins awaitRepeatedRuns() {
        long deadline = mFleet.mClock.now() + REPEATED_TIMEOUT_MILLIS;
        RunMargins margins = margins();
        while (margins.repeatedRuns() == 0 && mFleet.mClock.now() < deadline) {
            ProcessFleet.sleep(POLL_INTERVAL_MILLIS);
            margins = margins();
        }
        return margins;
    }

    private RunMargins margins() {
        return new RunMargins(mFleet.mWorkers, mFleet.mClock.now());
    }
}
