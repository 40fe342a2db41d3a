package org.jackdawsaddle.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import org.testng.annotations.Test;

/** Kills, freezes and terminates sidecars under load, and makes targets fail or withdraws them. */
public class SidecarFailureTest extends ProcessTestBase {

    @Test
    public void killedSidecarIsReplacedWithoutDuplicateStarts() {
        mLoad.run(2_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mSidecars.getFirst().kill();
        mLoad.run(1_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mSidecars.getFirst().start();
        mLoad.run(4_000, SUBMIT_INTERVAL_MILLIS);
        ProcessLoad.Outcomes outcomes = mLoad.awaitAndCheck();
        assertTrue(
                outcomes.mCompleteJobs > outcomes.total() * 0.9,
                "most answers complete: " + outcomes);
        mFleet.await("the restarted sidecar usable", () -> mFleet.usableTargets() == TARGETS);
    }

    @Test(groups = "known-red")
    public void frozenSidecarDelaysOnlyItsTasks() {
        mLoad.run(2_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mSidecars.getFirst().freeze();
        mLoad.run(3_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mSidecars.getFirst().resume();
        mLoad.run(2_000, SUBMIT_INTERVAL_MILLIS);
        ProcessLoad.Outcomes outcomes = mLoad.awaitAndCheck();
        assertEquals(outcomes.mCompleteJobs, outcomes.total(), "complete answers");
    }

    @Test
    public void terminatedSidecarFinishesRunningTasks() {
        mLoad.run(2_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mSidecars.getFirst().terminate();
        mLoad.run(2_000, SUBMIT_INTERVAL_MILLIS);
        ProcessLoad.Outcomes outcomes = mLoad.awaitAndCheck();
        assertEquals(outcomes.mCompleteJobs, outcomes.total(), "complete answers");
    }

    @Test
    public void failingTargetIsPutOnProbation() {
        mLoad.run(2_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mTargets.getFirst().setFailing(true);
        mLoad.run(3_000, SUBMIT_INTERVAL_MILLIS);
        ProcessLoad after = new ProcessLoad(mFleet, mFleet.mHttpAddresses);
        after.run(4_000, SUBMIT_INTERVAL_MILLIS);
        mLoad.awaitAndCheck();
        ProcessLoad.Outcomes outcomes = after.awaitAndCheck();
        assertTrue(outcomes.mFailedJobs <= 4, "failures once on probation: " + outcomes);
    }

    @Test(groups = "known-red")
    public void killedOwnerAndSidecarCauseNoDuplicateStarts() {
        int owner = awaitOwner();
        mLoad.run(2_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mEntries.get(owner).kill();
        mFleet.mSidecars.getFirst().kill();
        mLoad.run(2_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mEntries.get(owner).start();
        mLoad.run(8_000, SUBMIT_INTERVAL_MILLIS);
        mLoad.awaitAndCheck();
        ProcessLoad after = new ProcessLoad(mFleet, mFleet.mHttpAddresses);
        after.run(1_000, SUBMIT_INTERVAL_MILLIS);
        ProcessLoad.Outcomes outcomes = after.awaitAndCheck();
        assertEquals(outcomes.mCompleteJobs, outcomes.total(), "jobs after the takeover");
    }

    @Test
    public void withdrawnTargetGetsNoNewTasks() {
        mLoad.run(1_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mTargets.getFirst().withdraw();
        ProcessFleet.sleep(2_000);
        Map<String, Integer> before = mFleet.mTargets.getFirst().ledger().startCounts();
        mLoad.run(2_000, SUBMIT_INTERVAL_MILLIS);
        assertEquals(
                mFleet.mTargets.getFirst().ledger().startCounts(),
                before,
                "starts after the withdrawal");
        ProcessLoad.Outcomes outcomes = mLoad.awaitAndCheck();
        assertEquals(outcomes.mCompleteJobs, outcomes.total(), "complete answers");
    }
}
