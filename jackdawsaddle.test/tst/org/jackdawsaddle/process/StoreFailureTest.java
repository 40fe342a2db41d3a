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

/**
 * Outages of the store under load, publications with lost and slow responses of the store, and two
 * publications on the same base revision.
 */
public class StoreFailureTest extends ProcessTestBase {
    /** Counted from before the publication, each of whose calls to the slow store takes 1.5 s. */
    private static final long MAX_PROPAGATION_MILLIS = 8_000;

    @Test
    public void servesDuringAStoreOutage() {
        mLoad.run(1_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mStore.setFault(StoreFault.DOWN);
        // Longer than the lease of an entry's record in the store (10 s).
        mLoad.run(14_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mStore.setFault(StoreFault.NONE);
        mLoad.run(2_000, SUBMIT_INTERVAL_MILLIS);
        ProcessLoad.Outcomes outcomes = mLoad.awaitAndCheck();
        assertEquals(outcomes.mCompleteJobs, outcomes.total(), "complete answers");
    }

    @Test
    public void ownerKilledDuringAnOutageIsReplacedAfterIt() {
        int owner = awaitOwner();
        mLoad.run(1_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mStore.setFault(StoreFault.DOWN);
        mFleet.mEntries.get(owner).kill();
        mLoad.run(4_000, SUBMIT_INTERVAL_MILLIS);
        mFleet.mStore.setFault(StoreFault.NONE);
        mLoad.run(6_000, SUBMIT_INTERVAL_MILLIS);
        mLoad.awaitAndCheck();
        // Fails unless an entry owns the partition again.
        awaitOwner();
    }

    @Test
    public void publicationWithALostResponseIsIdempotent() {
        ConfigurationPublisher publisher =
                new ConfigurationPublisher(mFleet.mStoreClient, mFleet.mClock::now);
        ConfigurationHead before = publisher.read().join();
        String id = UUID.randomUUID().toString();
        ConfigurationSet set = withDrainedTarget(before.set());
        mFleet.mStore.setFault(StoreFault.LOSE_ANSWERS);
        assertThrows(
                CompletionException.class,
                () -> publisher.publish(before.revision(), id, "a", "b", set).join());
        mFleet.mStore.setFault(StoreFault.NONE);
        ConfigurationHead after = publisher.publish(before.revision(), id, "a", "b", set).join();
        assertEquals(after.revision(), before.revision() + 1, "one publication");
        mFleet.await("the revision in force everywhere", () -> appliedEverywhere(after.revision()));
    }

    @Test
    public void revisionIsAppliedEverywhereInTimeWithASlowStore() {
        mFleet.mStore.setFault(StoreFault.SLOW);
        ConfigurationSet set = FleetSpec.deployment(Deployment.FJORDHORN, ENTRIES).set();
        long start = mFleet.mClock.now();
        ConfigurationHead head = mFleet.publish(withDrainedTarget(set));
        mFleet.await("the revision in force everywhere", () -> appliedEverywhere(head.revision()));
        long millis = mFleet.mClock.now() - start;
        assertTrue(millis < MAX_PROPAGATION_MILLIS, "in force after " + millis + " ms");
    }

    @Test
    public void conflictOnAnOutdatedBaseNamesTheOtherAuthor() {
        ConfigurationPublisher publisher =
                new ConfigurationPublisher(mFleet.mStoreClient, mFleet.mClock::now);
        ConfigurationHead base = publisher.read().join();
        publisher
                .publish(base.revision(), "one", "ane", "first", withDrainedTarget(base.set()))
                .join();
        CompletionException conflict =
                expectThrows(
                        CompletionException.class,
                        () ->
                                publisher
                                        .publish(base.revision(), "two", "bo", "second", base.set())
                                        .join());
        assertTrue(conflict.getMessage().contains("by ane (first)"), conflict.getMessage());
    }

    private boolean appliedEverywhere(long revision) {
        return mFleet.status(0).size() == ENTRIES
                && mFleet.status(0).stream().allMatch(status -> status.revision() >= revision)
                && mFleet.status(0).stream()
                        .allMatch(status -> status.unconfirmed(revision).isEmpty());
    }

    private static ConfigurationSet withDrainedTarget(ConfigurationSet set) {
        TargetObject target = new TargetObject("target-0", Deployment.FJORDHORN.service(), true, 0);
        return new ConfigurationSet(
                set.services(), List.of(target), set.jobKinds(), set.limits(), set.teams());
    }
}
