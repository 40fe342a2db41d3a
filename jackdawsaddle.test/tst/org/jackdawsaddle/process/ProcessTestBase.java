package org.jackdawsaddle.process;

import org.jackdawsaddle.standin.fleet.Deployment;
import org.jackdawsaddle.standin.fleet.FleetSpec;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Runs a new fleet of processes for each test, with a load that the test can apply. */
public abstract class ProcessTestBase {
    static final int ENTRIES = 3;
    static final int TARGETS = 4;
    static final long SUBMIT_INTERVAL_MILLIS = 25;

    /** Limit of the slowest response time while another entry takes over the partition. */
    static final long MAX_TAKEOVER_MILLIS = 10_000;

    ProcessFleet mFleet;
    ProcessLoad mLoad;

    @BeforeMethod
    public void startFleet() {
        mFleet = new ProcessFleet(ENTRIES, TARGETS, Deployment.FJORDHORN.service());
        mFleet.start(FleetSpec.deployment(Deployment.FJORDHORN, ENTRIES).set());
        mLoad = new ProcessLoad(mFleet, mFleet.mHttpAddresses);
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.stop();
    }

    /** Waits until an entry owns the partition and returns its index. */
    int awaitOwner() {
        mFleet.await("an owner", () -> mFleet.owner().isPresent());
        return mFleet.owner().orElseThrow();
    }
}
