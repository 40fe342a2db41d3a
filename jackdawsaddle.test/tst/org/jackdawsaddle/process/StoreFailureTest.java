package org.jackdawsaddle.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import org.jackdawsaddle.config.ConfigurationHead;
import org.jackdawsaddle.config.ConfigurationPublisher;
import org.jackdawsaddle.config.ConfigurationSet;
import org.jackdawsaddle.config.TargetObject;
import org.jackdawsaddle.standin.fleet.Deployment;
import org.jackdawsaddle.standin.fleet.FleetSpec;
import org.jackdawsaddle.standin.store.StoreFault;
import org.testng.annotations.Test;

/** Takes the platform's store away, slows it down and loses its answers, under load. */
public class StoreFailureTest extends ProcessTestBase {
    private static final long IN_FORCE_MILLIS = 8_000;

    @Test
    public void servingGoesOnWithoutTheStore() {
        mLoad.run(1_000, PACE_MILLIS);
        mFleet.mStore.fault(StoreFault.DOWN);
        mLoad.run(14_000, PACE_MILLIS);
        mFleet.mStore.fault(StoreFault.NONE);
        mLoad.run(2_000, PACE_MILLIS);
        ProcessLoad.Outcomes outcomes = mLoad.check();
        assertEquals(outcomes.mComplete, outcomes.total(), "jobs answered whole");
    }

    @Test
    public void ownerKilledDuringAnOutageIsReplacedAfterIt() {
        int owner = owner();
        mLoad.run(1_000, PACE_MILLIS);
        mFleet.mStore.fault(StoreFault.DOWN);
        mFleet.mEntries.get(owner).kill();
        mLoad.run(4_000, PACE_MILLIS);
        mFleet.mStore.fault(StoreFault.NONE);
        mLoad.run(6_000, PACE_MILLIS);
        mLoad.check();
        owner();
    }

    @Test
    public void publicationWithALostAnswerIsSettled() {
        ConfigurationPublisher publisher =
                new ConfigurationPublisher(mFleet.mStoreClient, mFleet.mClock::now);
        ConfigurationHead before = publisher.read().join();
        String id = UUID.randomUUID().toString();
        ConfigurationSet set = drained(before.set());
        mFleet.mStore.fault(StoreFault.LOSE_ANSWERS);
        assertThrows(
                CompletionException.class,
                () -> publisher.publish(before.revision(), id, "a", "b", set).join());
        mFleet.mStore.fault(StoreFault.NONE);
        ConfigurationHead after = publisher.publish(before.revision(), id, "a", "b", set).join();
        assertEquals(after.revision(), before.revision() + 1, "one publication");
        mFleet.await("the revision everywhere", () -> inForce(after.revision()));
    }

    @Test
    public void changeIsInForceEverywhereInTimeWithASlowStore() {
        mFleet.mStore.fault(StoreFault.SLOW);
        ConfigurationSet set = FleetSpec.deployment(Deployment.FJORDHORN, ENTRIES).set();
        long start = mFleet.mClock.now();
        ConfigurationHead head = mFleet.publish(drained(set));
        mFleet.await("the revision everywhere", () -> inForce(head.revision()));
        long millis = mFleet.mClock.now() - start;
        assertTrue(millis < IN_FORCE_MILLIS, "in force after " + millis + " ms");
    }

    @Test
    public void racingOperatorsMeetAConflictThatNamesTheRival() {
        ConfigurationPublisher publisher =
                new ConfigurationPublisher(mFleet.mStoreClient, mFleet.mClock::now);
        ConfigurationHead base = publisher.read().join();
        publisher.publish(base.revision(), "one", "ane", "first", drained(base.set())).join();
        CompletionException conflict =
                expectThrows(
                        CompletionException.class,
                        () ->
                                publisher
                                        .publish(base.revision(), "two", "bo", "second", base.set())
                                        .join());
        assertTrue(conflict.getMessage().contains("by ane (first)"), conflict.getMessage());
    }

    private boolean inForce(long revision) {
        return mFleet.status(0).size() == ENTRIES
                && mFleet.status(0).stream().allMatch(status -> status.revision() >= revision)
                && mFleet.status(0).stream()
                        .allMatch(status -> status.unconfirmed(revision).isEmpty());
    }

    private static ConfigurationSet drained(ConfigurationSet set) {
        TargetObject target = new TargetObject("target-0", Deployment.FJORDHORN.service(), true, 0);
        return new ConfigurationSet(
                set.services(), List.of(target), set.jobKinds(), set.limits(), set.teams());
    }
}
