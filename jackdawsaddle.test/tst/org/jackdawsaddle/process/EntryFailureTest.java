package org.jackdawsaddle.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Kills, freezes, drains and cuts off entries under load. */
public class EntryFailureTest extends ProcessTestBase {

    @Test
    public void killedOwnerLosesOnlyItsOwnCallers() {
        int owner = owner();
        List<String> others = new ArrayList<>(mFleet.mHttpAddresses);
        others.remove(owner);
        ProcessLoad load = new ProcessLoad(mFleet, others);
        load.run(2_000, PACE_MILLIS);
        mFleet.mEntries.get(owner).kill();
        load.run(4_000, PACE_MILLIS);
        ProcessLoad.Outcomes outcomes = load.check();
        assertEquals(outcomes.mLost, 0, "lost answers of other entries");
        assertEquals(outcomes.mComplete, outcomes.total(), "jobs answered whole");
        assertTrue(outcomes.mSlowestMillis < TAKEOVER_MILLIS, "takeover in time");
    }

    @Test
    public void frozenOwnerStartsNothingAfterItsTakeover() {
        int owner = owner();
        mLoad.run(2_000, PACE_MILLIS);
        mFleet.mEntries.get(owner).freeze();
        mLoad.run(6_000, PACE_MILLIS);
        mFleet.mEntries.get(owner).resume();
        mLoad.run(2_000, PACE_MILLIS);
        mLoad.check();
        assertNotEquals(owner(), owner, "owner after the freeze");
    }

    @Test
    public void terminatedOwnerCutsOffNoRequest() {
        int owner = owner();
        mLoad.run(2_000, PACE_MILLIS);
        Thread stop = Thread.ofVirtual().start(() -> mFleet.mEntries.get(owner).terminate());
        List<String> others = new ArrayList<>(mFleet.mHttpAddresses);
        others.remove(owner);
        ProcessLoad load = new ProcessLoad(mFleet, others);
        load.run(3_000, PACE_MILLIS);
        join(stop);
        ProcessLoad.Outcomes atOwner = mLoad.check();
        ProcessLoad.Outcomes elsewhere = load.check();
        assertEquals(atOwner.mComplete, atOwner.total(), "jobs in flight at the shutdown");
        assertEquals(elsewhere.mComplete, elsewhere.total(), "jobs during the shutdown");
    }

    @Test
    public void ownerThatHearsNothingIsReplaced() {
        int owner = owner();
        mLoad.run(1_000, PACE_MILLIS);
        mFleet.mProxies.get(owner).hold(true, false);
        mLoad.run(5_000, PACE_MILLIS);
        mFleet.mProxies.get(owner).hold(false, false);
        mLoad.run(2_000, PACE_MILLIS);
        mLoad.check();
    }

    @Test
    public void ownerThatIsNotHeardStartsNothingTwice() {
        int owner = owner();
        mLoad.run(1_000, PACE_MILLIS);
        mFleet.mProxies.get(owner).hold(false, true);
        mLoad.run(5_000, PACE_MILLIS);
        mFleet.mProxies.get(owner).hold(false, false);
        mLoad.run(2_000, PACE_MILLIS);
        mLoad.check();
    }

    @Test
    public void ownerCutOffFromAllIsReplaced() {
        int owner = owner();
        mLoad.run(1_000, PACE_MILLIS);
        mFleet.mProxies.get(owner).cut(true);
        mLoad.run(5_000, PACE_MILLIS);
        mFleet.mProxies.get(owner).cut(false);
        mLoad.run(2_000, PACE_MILLIS);
        mLoad.check();
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
