package org.jackdawsaddle.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Kills, freezes and terminates owners under load, and closes or stalls the connections that
 * sidecars and other entries have opened to them.
 */
public class EntryFailureTest extends ProcessTestBase {

    @Test
    public void killedOwnerLosesOnlyItsOwnCallers() {
        int owner = awaitOwner();
        List<String> others = new ArrayList<>(mFleet.mHttpAddresses);
        others.remove(owner);
        ProcessLoad load = new ProcessLoad(mFleet, others);
        load.run(2_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mEntries.get(owner).kill();
        load.run(4_000, SUBMIT_INTERVAL_MILLIS);
        ProcessLoad.Outcomes outcomes = load.awaitAndCheck();
        assertEquals(outcomes.mLostJobs, 0, "lost answers of other entries");
        assertEquals(outcomes.mCompleteJobs, outcomes.total(), "complete answers");
        assertTrue(
                outcomes.mSlowestMillis < MAX_TAKEOVER_MILLIS,
                "slowest answer during the takeover");
    }

    @Test
    public void frozenOwnerIsReplacedWithoutDuplicateStarts() {
        int owner = awaitOwner();
        mLoad.run(2_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mEntries.get(owner).freeze();
        mLoad.run(6_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mEntries.get(owner).resume();
        mLoad.run(2_000, SUBMIT_INTERVAL_MILLIS);
        mLoad.awaitAndCheck();
        assertNotEquals(awaitOwner(), owner, "owner after the freeze");
    }

    @Test
    public void terminatedOwnerInterruptsNoRequest() {
        int owner = awaitOwner();
        mLoad.run(2_000, SUBMIT_INTERVAL_MILLIS);
        Thread stop = Thread.ofVirtual().start(() -> mFleet.mEntries.get(owner).terminate());
        List<String> others = new ArrayList<>(mFleet.mHttpAddresses);
        others.remove(owner);
        ProcessLoad load = new ProcessLoad(mFleet, others);
        load.run(3_000, SUBMIT_INTERVAL_MILLIS);
        join(stop);
        ProcessLoad.Outcomes atOwner = mLoad.awaitAndCheck();
        ProcessLoad.Outcomes atOthers = load.awaitAndCheck();
        assertEquals(atOwner.mCompleteJobs, atOwner.total(), "jobs in flight at the shutdown");
        assertEquals(atOthers.mCompleteJobs, atOthers.total(), "jobs during the shutdown");
    }

    @Test
    public void ownerWithStalledInboundTrafficCausesNoDuplicateStarts() {
        int owner = awaitOwner();
        mLoad.run(1_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mEntryProxies.get(owner).stall(true, false);
        mLoad.run(5_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mEntryProxies.get(owner).stall(false, false);
        mLoad.run(2_000, SUBMIT_INTERVAL_MILLIS);
        mLoad.awaitAndCheck();
    }

    @Test
    public void ownerWithStalledOutboundTrafficCausesNoDuplicateStarts() {
        int owner = awaitOwner();
        mLoad.run(1_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mEntryProxies.get(owner).stall(false, true);
        mLoad.run(5_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mEntryProxies.get(owner).stall(false, false);
        mLoad.run(2_000, SUBMIT_INTERVAL_MILLIS);
        mLoad.awaitAndCheck();
    }

    @Test
    public void partitionedOwnerCausesNoDuplicateStarts() {
        int owner = awaitOwner();
        mLoad.run(1_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mEntryProxies.get(owner).disconnect(true);
        mLoad.run(5_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mEntryProxies.get(owner).disconnect(false);
        mLoad.run(2_000, SUBMIT_INTERVAL_MILLIS);
        mLoad.awaitAndCheck();
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
