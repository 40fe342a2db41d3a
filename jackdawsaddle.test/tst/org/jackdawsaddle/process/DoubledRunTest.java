package org.jackdawsaddle.process;

import static org.testng.Assert.assertFalse;

import org.jackdawsaddle.standin.platform.PlatformFixture;
import org.testng.annotations.Test;

/**
 * Plays faults of workers and of connections on real processes, after which an entry starts tasks
 * again, and checks that their first runs have ended by then.
 */
public class DoubledRunTest extends DoubledRunTestBase {
    private static final int LOOPBACK_NETWORK = Integer.getInteger("doubled.network", 120);

    /** Tasks for each worker, which run on for longer than the faults last. */
    private static final PlatformFixture.Work LONG_WORK = new PlatformFixture.Work(9, 8_000, 4);

    private static final long JOB_TIMEOUT_MILLIS = 30_000;
    private static final String JOB_ID = "00000000000000a1";

    /** For how long a worker refuses connections. */
    private static final long REFUSAL_MILLIS = 300;

    /** For how long the new incarnation of a worker does not announce itself. */
    private static final long UNANNOUNCED_MILLIS = 2_000;

    /** For how long the messages of a sidecar are held back. */
    private static final long HOLD_BACK_MILLIS = 3_500;

    public DoubledRunTest() {
        super(LOOPBACK_NETWORK);
    }

    /** A worker that closes its listener is no dead worker: its runs go on. */
    @Test
    public void workerThatRefusesConnectionsForAMoment() {
        submit();
        int worker = busiestWorker();
        mFleet.mWorkerProxies.get(worker).stopListening();
        ProcessFleet.sleep(REFUSAL_MILLIS);
        mFleet.mWorkerProxies.get(worker).listen();
        checkNoneConcurrent("a worker refuses connections and comes back");
        assertFalse(mFleet.mWorkers.get(worker).runningTasks().isEmpty(), "its runs go on");
    }

    /** As above, but the worker dies afterwards and a new incarnation takes its place. */
    @Test
    public void workerThatRefusesConnectionsBeforeItDies() {
        submit();
        int worker = busiestWorker();
        mFleet.mWorkerProxies.get(worker).stopListening();
        ProcessFleet.sleep(REFUSAL_MILLIS);
        mFleet.mWorkers.get(worker).restart();
        mFleet.mWorkerProxies.get(worker).listen();
        check("a worker refuses connections and dies");
    }

    /** The tasks of a worker that died run again, and none of them twice at a time. */
    @Test
    public void workerThatDies() {
        submit();
        int worker = busiestWorker();
        mFleet.mWorkerProxies.get(worker).stopListening();
        mFleet.mWorkers.get(worker).restart();
        ProcessFleet.sleep(REFUSAL_MILLIS);
        mFleet.mWorkerProxies.get(worker).listen();
        check("a worker dies");
    }

    /** A new incarnation under the old name takes orders before it announces itself. */
    @Test
    public void workerThatStartsAgainUnannounced() {
        mFleet.mWorkers.getFirst().restart(mFleet.mClock.now() + UNANNOUNCED_MILLIS);
        submit();
        ProcessFleet.sleep(UNANNOUNCED_MILLIS);
        checkNoneConcurrent("a worker starts again and announces itself late");
    }

    /**
     * The entry does not hear a sidecar any more, and starts its tasks elsewhere. The sidecar hears
     * the entry, as a proxy accepts each connection, and must not go on with its runs.
     */
    @Test
    public void sidecarWhoseMessagesAreHeldBack() {
        submit();
        FaultProxy proxy = mFleet.mPeerProxies.get(busiestWorker()).getFirst();
        proxy.stall(true, false);
        ProcessFleet.sleep(HOLD_BACK_MILLIS);
        proxy.stall(false, false);
        check("the messages of a sidecar are held back");
    }

    private void submit() {
        mFleet.mHttpClient.send(
                mFleet.mFixture.jobRequest(
                        0,
                        SoakFleet.QUEUE,
                        JOB_ID,
                        LONG_WORK,
                        JOB_TIMEOUT_MILLIS,
                        mFleet.mClock.now() + JOB_TIMEOUT_MILLIS));
        ProcessFleet.sleep(SETTLE_MILLIS);
    }
}
