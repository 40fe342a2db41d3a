package org.jackdawsaddle.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jackdawsaddle.config.ConfigurationHead;
import org.jackdawsaddle.config.ConfigurationSet;
import org.jackdawsaddle.config.TeamObject;
import org.jackdawsaddle.internal.dispatch.EntryStatus;
import org.jackdawsaddle.standin.fleet.Deployment;
import org.jackdawsaddle.standin.fleet.FleetSpec;
import org.testng.annotations.Test;

/** Configuration changes, withdrawn targets and shutdowns that coincide with another failure. */
public class CombinedFailureTest extends ProcessTestBase {
    private static final long MAX_PROPAGATION_MILLIS = 8_000;

    @Test
    public void revisionIsAppliedInTimeAfterAnOwnerFailure() {
        int owner = awaitOwner();
        mLoad.run(1_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mEntries.get(owner).kill();
        long start = mFleet.mClock.now();
        ConfigurationHead head = mFleet.publish(withTeam("owner-died"));
        int other = owner == 0 ? 1 : 0;
        mFleet.await(
                "the revision in force everywhere",
                () -> appliedEverywhere(other, head.revision(), 2));
        long millis = mFleet.mClock.now() - start;
        assertTrue(millis < MAX_PROPAGATION_MILLIS, "in force after " + millis + " ms");
    }

    @Test
    public void resumedProcessesApplyTheNewestRevision() {
        int owner = awaitOwner();
        int other = owner == 0 ? 1 : 0;
        mFleet.mEntries.get(other).freeze();
        mFleet.mSidecars.getFirst().freeze();
        ConfigurationHead head = mFleet.publish(withTeam("frozen"));
        ProcessFleet.sleep(1_000);
        mFleet.mEntries.get(other).resume();
        mFleet.mSidecars.getFirst().resume();
        mFleet.await(
                "the revision in force everywhere",
                () -> appliedEverywhere(owner, head.revision(), ENTRIES));
    }

    @Test
    public void replacedProcessesStartWithTheNewestRevision() {
        ConfigurationHead head = mFleet.publish(withTeam("replaced"));
        int owner = awaitOwner();
        int other = owner == 0 ? 1 : 0;
        mFleet.mEntries.get(other).kill();
        mFleet.mSidecars.getFirst().kill();
        mFleet.mEntries.get(other).start();
        mFleet.mSidecars.getFirst().start();
        mFleet.await(
                "the revision in force everywhere",
                () ->
                        appliedEverywhere(owner, head.revision(), ENTRIES)
                                && usableTargets(owner) == TARGETS);
    }

    @Test
    public void targetWithdrawnDuringAnOwnerFailureGetsNoNewTasks() {
        int owner = awaitOwner();
        mLoad.run(1_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mEntries.get(owner).kill();
        mFleet.mTargets.getFirst().withdraw();
        ProcessFleet.sleep(2_000);
        Map<String, Integer> before = mFleet.mTargets.getFirst().ledger().startCounts();
        List<String> others = new ArrayList<>(mFleet.mHttpAddresses);
        others.remove(owner);
        ProcessLoad load = new ProcessLoad(mFleet, others);
        load.run(3_000, SUBMIT_INTERVAL_MILLIS);
        ProcessLoad.Outcomes outcomes = load.awaitAndCheck();
        assertEquals(
                mFleet.mTargets.getFirst().ledger().startCounts(),
                before,
                "starts after the withdrawal");
        assertEquals(outcomes.mCompleteJobs, outcomes.total(), "complete answers");
    }

    @Test
    public void sidecarDrainingDuringAnOwnerFailureInterruptsNoTasks() {
        int owner = awaitOwner();
        List<String> others = new ArrayList<>(mFleet.mHttpAddresses);
        others.remove(owner);
        ProcessLoad load = new ProcessLoad(mFleet, others);
        load.run(1_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mEntries.get(owner).kill();
        Thread drain = Thread.ofVirtual().start(() -> mFleet.mSidecars.getFirst().terminate());
        load.run(4_000, SUBMIT_INTERVAL_MILLIS);
        ProcessLoad.Outcomes outcomes = load.awaitAndCheck();
        assertEquals(outcomes.mLostJobs, 0, "lost answers");
        assertEquals(outcomes.mCompleteJobs, outcomes.total(), "complete answers");
        assertTrue(drain.isVirtual(), "the thread that terminates the sidecar is virtual");
    }

    private long usableTargets(int entry) {
        return mFleet.status(entry).stream()
                .flatMap(status -> status.targets().stream())
                .filter(EntryStatus.TargetStatus::usable)
                .count();
    }

    private boolean appliedEverywhere(int entry, long revision, int entries) {
        List<EntryStatus> all = mFleet.status(entry);
        return all.size() == entries
                && all.stream().allMatch(status -> status.revision() >= revision)
                && all.stream().allMatch(status -> status.unconfirmed(revision).isEmpty())
                && all.stream().mapToLong(status -> status.targets().size()).sum() > 0;
    }

    private static ConfigurationSet withTeam(String team) {
        ConfigurationSet set = FleetSpec.deployment(Deployment.FJORDHORN, ENTRIES).set();
        List<TeamObject> teams = new ArrayList<>(set.teams());
        teams.add(new TeamObject(team, 0));
        return new ConfigurationSet(
                set.services(), set.targets(), set.jobKinds(), set.limits(), teams);
    }
}
