package org.jackdawsaddle.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import org.testng.annotations.Test;

/** Kills, freezes and drains sidecars, and breaks targets, under load. */
public class SidecarFailureTest extends ProcessTestBase {

    @Test
    public void killedSidecarIsReplacedWithoutDoubledStarts() {
        mLoad.run(2_000, PACE_MILLIS);
        mFleet.mSidecars.getFirst().kill();
        mLoad.run(1_000, PACE_MILLIS);
        mFleet.mSidecars.getFirst().start();
        mLoad.run(4_000, PACE_MILLIS);
        ProcessLoad.Outcomes outcomes = mLoad.check();
        assertTrue(outcomes.mComplete > outcomes.total() * 0.9, "most jobs whole: " + outcomes);
        mFleet.await("the new life usable", () -> mFleet.usable() == TARGETS);
    }

    @Test
    public void frozenSidecarHoldsUpOnlyItsTasks() {
        mLoad.run(2_000, PACE_MILLIS);
        mFleet.mSidecars.getFirst().freeze();
        mLoad.run(3_000, PACE_MILLIS);
        mFleet.mSidecars.getFirst().resume();
        mLoad.run(2_000, PACE_MILLIS);
        ProcessLoad.Outcomes outcomes = mLoad.check();
        assertEquals(outcomes.mComplete, outcomes.total(), "jobs answered whole");
    }

    @Test
    public void terminatedSidecarFinishesWhatItRuns() {
        mLoad.run(2_000, PACE_MILLIS);
        mFleet.mSidecars.getFirst().terminate();
        mLoad.run(2_000, PACE_MILLIS);
        ProcessLoad.Outcomes outcomes = mLoad.check();
        assertEquals(outcomes.mComplete, outcomes.total(), "jobs answered whole");
    }

    @Test
    public void targetThatFailsEverythingIsPutOnProbation() {
        mLoad.run(2_000, PACE_MILLIS);
        mFleet.mTargets.getFirst().failing(true);
        mLoad.run(3_000, PACE_MILLIS);
        ProcessLoad after = new ProcessLoad(mFleet, mFleet.mHttpAddresses);
        after.run(4_000, PACE_MILLIS);
        mLoad.check();
        ProcessLoad.Outcomes outcomes = after.check();
        assertTrue(outcomes.mFailed <= 4, "failures once on probation: " + outcomes);
    }

    @Test
    public void killedOwnerAndSidecarTogetherDoubleNothing() {
        int owner = owner();
        mLoad.run(2_000, PACE_MILLIS);
        mFleet.mEntries.get(owner).kill();
        mFleet.mSidecars.getFirst().kill();
        mLoad.run(2_000, PACE_MILLIS);
        mFleet.mEntries.get(owner).start();
        mLoad.run(8_000, PACE_MILLIS);
        mLoad.check();
        ProcessLoad after = new ProcessLoad(mFleet, mFleet.mHttpAddresses);
        after.run(1_000, PACE_MILLIS);
        ProcessLoad.Outcomes outcomes = after.check();
        assertEquals(outcomes.mComplete, outcomes.total(), "jobs after the takeover");
    }

    @Test
    public void leavingTargetGetsNoNewWork() {
        mLoad.run(1_000, PACE_MILLIS);
        mFleet.mTargets.getFirst().withdraw();
        ProcessFleet.pause(2_000);
        Map<String, Integer> before = mFleet.mTargets.getFirst().ledger().starts();
        mLoad.run(2_000, PACE_MILLIS);
        assertEquals(mFleet.mTargets.getFirst().ledger().starts(), before, "starts after leaving");
        ProcessLoad.Outcomes outcomes = mLoad.check();
        assertEquals(outcomes.mComplete, outcomes.total(), "jobs answered whole");
    }
}
