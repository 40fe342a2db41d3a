package org.jackdawsaddle.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays callers on real processes that lose their connections to an entry and send their jobs to
 * another one after the resend delay, while processes are frozen or cut off, and checks that the
 * first runs have ended by then.
 *
 * <p>{@code -Ddoubled.seeds} plays that number of random schedules, from seed {@code
 * -Ddoubled.seed} on (0 if absent), and {@code -Ddoubled.network} is the second octet of the
 * loopback addresses (121 if absent).
 */
public class DoubledRunOfResentJobTest extends DoubledRunTestBase {
    private static final int LOOPBACK_NETWORK = Integer.getInteger("doubled.network", 121);
    private static final long FIRST_SEED = Long.getLong("doubled.seed", 0);
    private static final int SEED_COUNT = Integer.getInteger("doubled.seeds", 0);
    private static final int JOBS = 4;

    /** How long after the first freeze the connections break: a process has stopped by then. */
    private static final long BREAK_DELAY_MILLIS = 10;

    /** For how long the first entry is frozen where that is longer than anyone waits for it. */
    private static final long ENTRY_AWAY_MILLIS = 1_200;

    /** Until when the fault after it lasts: after the second runs have started. */
    private static final long OTHER_AWAY_MILLIS = 1_900;

    /** How late the worker gets the order to stop. */
    private static final long STOP_DELAY_MILLIS = 1_000;

    /** Just before a sidecar stops the runs of an entry that was killed. */
    private static final long BEFORE_RECONNECT_TIMEOUT_MILLIS = 250;

    /** The bounds of the length of a random freeze. */
    private static final int MIN_FREEZE_MILLIS = 150;

    private static final int MAX_FREEZE_MILLIS = 950;

    /** The bounds of the time between two random freezes of a process. */
    private static final int MIN_ACTIVE_MILLIS = 5;

    private static final int MAX_ACTIVE_MILLIS = 45;

    /** The bounds of the beginning of the first random freeze, and the limit of the last one's. */
    private static final int EARLIEST_FREEZE_MILLIS = -100;

    private static final int LATEST_FIRST_FREEZE_MILLIS = 200;
    private static final int LATEST_FREEZE_MILLIS = 1_800;

    private ResentJobs mJobs;

    public DoubledRunOfResentJobTest() {
        super(LOOPBACK_NETWORK);
    }

    /** The runs are stopped as soon as the callers have left. */
    @Test
    public void nothingElse() {
        send();
        resend("nothing else", List.of());
    }

    @Test(dataProvider = "entryFreezes")
    public void entryFrozen(long untilMillis) {
        send();
        resend(
                "entry frozen for " + untilMillis + " ms",
                List.of(TimedFault.freeze(entry(), 0, untilMillis)));
    }

    /** Freezes that end before, and after, the sidecars stop the runs of the entry. */
    @DataProvider
    public Object[][] entryFreezes() {
        return new Object[][] {{700L}, {1_200L}};
    }

    /** The sidecar freezes just before it would stop the runs of the frozen entry. */
    @Test(dataProvider = "momentsBeforeStop")
    public void sidecarFrozenAfterEntry(long fromMillis) {
        int worker = send();
        resend(
                "entry frozen, sidecar from " + fromMillis + " ms on",
                List.of(
                        TimedFault.freeze(entry(), 0, ENTRY_AWAY_MILLIS),
                        TimedFault.freeze(sidecar(worker), fromMillis, OTHER_AWAY_MILLIS)));
    }

    /** The worker stops to get the sidecar's orders just before it would get that to stop. */
    @Test(dataProvider = "momentsBeforeStop")
    public void workerCutOffAfterEntryFroze(long fromMillis) {
        int worker = send();
        FaultProxy proxy = mFleet.mWorkerProxies.get(worker);
        resend(
                "entry frozen, worker cut off from " + fromMillis + " ms on",
                List.of(
                        TimedFault.freeze(entry(), 0, ENTRY_AWAY_MILLIS),
                        TimedFault.stall(proxy, true, false, fromMillis, OTHER_AWAY_MILLIS)));
    }

    /**
     * As the first one, but nothing passes between the entry and the sidecar, as in a power loss.
     */
    @Test(dataProvider = "momentsBeforeStop")
    public void sidecarFrozenAfterEntryWasCutOff(long fromMillis) {
        int worker = send();
        FaultProxy proxy = mFleet.mPeerProxies.get(worker).getFirst();
        resend(
                "entry cut off, sidecar frozen from " + fromMillis + " ms on",
                List.of(
                        TimedFault.stall(proxy, true, true, 0, OTHER_AWAY_MILLIS),
                        TimedFault.freeze(sidecar(worker), fromMillis, OTHER_AWAY_MILLIS)));
    }

    /**
     * The sidecar stops the runs 750 to 900 ms after it has lost the entry, which depends on when
     * the last heartbeat came.
     */
    @DataProvider
    public Object[][] momentsBeforeStop() {
        return new Object[][] {{800L}, {850L}};
    }

    @Test
    public void entryCutOff() {
        int worker = send();
        FaultProxy proxy = mFleet.mPeerProxies.get(worker).getFirst();
        resend("entry cut off", List.of(TimedFault.stall(proxy, true, true, 0, OTHER_AWAY_MILLIS)));
    }

    @Test
    public void stopUnanswered() {
        int worker = send();
        FaultProxy proxy = mFleet.mWorkerProxies.get(worker);
        resend(
                "stop unanswered",
                List.of(TimedFault.stall(proxy, false, true, 0, OTHER_AWAY_MILLIS)));
    }

    /** The worker gets the order to stop late; the lease of its runs ends before. */
    @Test
    public void stopLate() {
        int worker = send();
        FaultProxy proxy = mFleet.mWorkerProxies.get(worker);
        resend("stop late", List.of(TimedFault.stall(proxy, true, false, 0, STOP_DELAY_MILLIS)));
    }

    /** The sidecar, which sees the end of the entry at once, freezes just before it would act. */
    @Test
    public void sidecarFrozenAfterEntryWasKilled() {
        int worker = send();
        resend(
                "entry killed, sidecar frozen",
                List.of(
                        new TimedFault(0, 0, entry()::kill, () -> {}),
                        TimedFault.freeze(
                                sidecar(worker),
                                BEFORE_RECONNECT_TIMEOUT_MILLIS,
                                OTHER_AWAY_MILLIS)));
    }

    /** Processes are frozen at random times. */
    @Test(dataProvider = "seeds")
    public void frozenAtRandom(long seed) {
        int worker = send();
        Random random = new Random(seed);
        List<TimedFault> faults = new ArrayList<>(randomFreezes(entry(), random));
        faults.addAll(randomFreezes(sidecar(worker), random));
        resend("random freezes, seed " + seed, faults);
    }

    @DataProvider
    public Object[][] seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEED_COUNT)
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }

    private static List<TimedFault> randomFreezes(ChildProcess process, Random random) {
        List<TimedFault> freezes = new ArrayList<>();
        long from = random.nextInt(EARLIEST_FREEZE_MILLIS, LATEST_FIRST_FREEZE_MILLIS);
        while (from < LATEST_FREEZE_MILLIS) {
            long until = from + random.nextInt(MIN_FREEZE_MILLIS, MAX_FREEZE_MILLIS);
            freezes.add(TimedFault.freeze(process, from, until));
            from = until + random.nextInt(MIN_ACTIVE_MILLIS, MAX_ACTIVE_MILLIS);
        }
        return freezes;
    }

    /** Sends the jobs to the first entry, and returns the worker with the most runs. */
    private int send() {
        mJobs = new ResentJobs(mFleet, JOBS);
        mJobs.send();
        ProcessFleet.sleep(SETTLE_MILLIS);
        return busiestWorker();
    }

    /** Resets the callers' connections at the moment to which the faults refer. */
    private void resend(String scenario, List<TimedFault> faults) {
        long leadMillis = -faults.stream().mapToLong(TimedFault::fromMillis).min().orElse(0);
        long moment = mFleet.mClock.now() + Math.max(0, leadMillis);
        faults.forEach(fault -> fault.schedule(moment));
        ProcessFleet.sleep(Math.max(0, leadMillis) + BREAK_DELAY_MILLIS);
        mJobs.resetAndResend();
        check(scenario);
    }

    private ChildProcess entry() {
        return mFleet.mEntries.getFirst();
    }

    private ChildProcess sidecar(int worker) {
        return mFleet.mSidecars.get(worker);
    }
}
