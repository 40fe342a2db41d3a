package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What a large pool without jobs costs, and what it still notices, in simulated time. */
public class IdlePoolTest {
    private static final int ENTRIES = 9;
    private static final int SIDECARS = 58;
    private static final long WARM_UP_MILLIS = 5_000;
    private static final long MINUTE_MILLIS = 60_000;

    /** In each direction one. */
    private static final double MAX_MESSAGES_PER_CONNECTION_AND_SECOND = 0.2;

    /** As many answers come back. */
    private static final double MAX_PINGS_PER_PEER_AND_SECOND = 1;

    /** One announcement of the target each second, and as many for everything else. */
    private static final double MAX_WAKE_UPS_PER_SIDECAR_AND_SECOND = 2;

    /** Some for each other entry, and less than one for all sidecars together. */
    private static final double MAX_WAKE_UPS_PER_ENTRY_AND_SECOND = 10;

    /** So few that each entry watches all of them. */
    private static final int WATCHED_SIDECARS = 12;

    /** Shorter than the timeout of idle connections. */
    private static final long QUIET_MILLIS = 8_000;

    private static final long JOBS_MILLIS = 5_000;
    private static final int MAX_JOBS_IN_PROGRESS = 20;

    private PoolSimulation mPool;

    @BeforeMethod
    public void startPool() {
        mPool = new PoolSimulation(1, PoolShape.small(ENTRIES, SIDECARS));
        mPool.runUntil(mPool.mNow + WARM_UP_MILLIS, () -> {});
    }

    @Test
    public void sendsFewMessagesWithoutJobs() {
        mPool.mMessageCounts.clear();
        mPool.runUntil(mPool.mNow + MINUTE_MILLIS, () -> {});
        long messages = mPool.mMessageCounts.values().stream().mapToLong(n -> n).sum();
        double rate = messages / (ENTRIES * SIDECARS * (MINUTE_MILLIS / 1_000.0));
        assertTrue(rate <= MAX_MESSAGES_PER_CONNECTION_AND_SECOND, "messages: " + rate);
    }

    @Test
    public void pingsOtherEntriesRarelyWithoutJobs() {
        long before = mPool.mPeerMessageCount;
        mPool.runUntil(mPool.mNow + MINUTE_MILLIS, () -> {});
        double messages = mPool.mPeerMessageCount - before;
        double rate = messages / (ENTRIES * (ENTRIES - 1) * (MINUTE_MILLIS / 1_000.0));
        assertTrue(rate <= MAX_PINGS_PER_PEER_AND_SECOND, "pings: " + rate);
    }

    @Test
    public void wakesUpRarelyWithoutJobs() {
        double sidecarRate = -wakeUpRate(mPool.mSidecars);
        double entryRate = -wakeUpRate(mPool.mEntries);
        mPool.runUntil(mPool.mNow + MINUTE_MILLIS, () -> {});
        sidecarRate += wakeUpRate(mPool.mSidecars);
        entryRate += wakeUpRate(mPool.mEntries);
        String rates = "sidecars: " + sidecarRate + ", entries: " + entryRate;
        assertTrue(sidecarRate <= MAX_WAKE_UPS_PER_SIDECAR_AND_SECOND, rates);
        assertTrue(entryRate <= MAX_WAKE_UPS_PER_ENTRY_AND_SECOND, rates);
    }

    /**
     * A sidecar is cut off while there are no jobs, without a closed connection. It gets no task,
     * and is noticed as soon as it is watched.
     */
    @Test
    public void noticesASidecarThatWasLostWhileIdle() {
        PoolSimulation pool = new PoolSimulation(1, PoolShape.small(ENTRIES, WATCHED_SIDECARS));
        pool.runUntil(pool.mNow + WARM_UP_MILLIS, () -> {});
        for (int entry = 0; entry < ENTRIES; entry++) {
            pool.mLinksToEntry[entry][0].mPartitioned = true;
            pool.mLinksToSidecar[entry][0].mPartitioned = true;
        }
        pool.runUntil(pool.mNow + QUIET_MILLIS, () -> {});
        assertEquals(sidecarsLost(pool), 0);
        pool.run(JOBS_MILLIS, false);
        assertEquals(sidecarsLost(pool), ENTRIES);
        assertTrue(
                pool.succeededJobCount() >= pool.jobCount() - MAX_JOBS_IN_PROGRESS,
                pool.succeededJobCount() + " jobs succeeded of " + pool.jobCount());
    }

    private static long sidecarsLost(PoolSimulation pool) {
        return pool.mEntries.stream()
                .mapToLong(entry -> entry.mCore.counterValue(PoolEntryCounter.SIDECARS_LOST))
                .sum();
    }

    private static double wakeUpRate(List<? extends SimulatedNode> nodes) {
        long count = nodes.stream().mapToLong(node -> node.mWakeUpCount).sum();
        return count / (nodes.size() * (MINUTE_MILLIS / 1_000.0));
    }
}
