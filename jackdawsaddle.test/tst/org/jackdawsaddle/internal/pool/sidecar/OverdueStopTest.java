package org.jackdawsaddle.internal.pool.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.pool.PoolTiming;
import org.jackdawsaddle.internal.pool.RunEndBounds;
import org.testng.annotations.Test;

/**
 * Guards against a run that goes on because its target confirms no stop, while its caller has sent
 * the job again to an entry that cannot reach the sidecar.
 */
public class OverdueStopTest extends PoolSidecarCoreTestBase {
    /** The shortest time after which a caller without an answer sends its job again. */
    private static final long RESEND_MILLIS = 1_300;

    private static final long POLL_MILLIS = 50;
    private static final long OBSERVED_MILLIS = 3_000;

    @Test
    public void boundIsBelowTheResendDelay() {
        assertTrue(RunEndBounds.unconfirmedStopMillis() < RESEND_MILLIS);
    }

    @Test
    public void letsTheLeaseOfARunExpireWhoseStopIsNotConfirmed() {
        start(RUN);
        long stoppedAt = mNow;
        send(OWNER, new PoolMessage.Stop(List.of(RUN)));
        pollWhileStopsAreUnanswered();
        long leaseEnd = mLatestLeaseEnd + START_MILLIS + PoolTiming.LEASE_SLACK_MILLIS;
        long bound = RunEndBounds.unconfirmedStopMillis();
        assertTrue(leaseEnd <= stoppedAt + bound, "ends after " + (leaseEnd - stoppedAt));
    }

    @Test
    public void renewsTheLeaseAgainOnceTheStopIsConfirmed() {
        letsTheLeaseOfARunExpireWhoseStopIsNotConfirmed();
        long leaseEnd = mLatestLeaseEnd;
        handle(new PoolSidecarEvent.StopAnswered(RUN, true));
        start(new PoolMessage.Run(JOB + ".0.0.1", 1));
        answerPollAt(mNow - START_MILLIS, TARGET, new PoolMessage.Run(JOB + ".0.0.1", 1));
        assertTrue(mLatestLeaseEnd > leaseEnd);
    }

    /** A run that may start late is not active: its neighbours on the target go on. */
    @Test
    public void renewsTheLeaseWhileARunMayStartLate() {
        PoolMessage.Run neighbour = new PoolMessage.Run(JOB + ".0.0.1", 1);
        start(neighbour);
        send(OWNER, new PoolMessage.Start(2, mNow, List.of(task(RUN))));
        send(OWNER, new PoolMessage.Stop(List.of(RUN)));
        for (long millis = 0; millis < OBSERVED_MILLIS; millis += POLL_MILLIS) {
            pollOnce(neighbour);
        }
        assertEquals(
                mLatestLeaseEnd, mNow - START_MILLIS + PoolTiming.LEASE_MILLIS, "renewed by now");
    }

    private void pollWhileStopsAreUnanswered() {
        for (long millis = 0; millis < OBSERVED_MILLIS; millis += POLL_MILLIS) {
            pollOnce(RUN);
        }
    }

    /** Answers a poll with these runs; the stop gets no answer. */
    private void pollOnce(PoolMessage.Run... running) {
        mNow += POLL_MILLIS;
        handle(new PoolSidecarEvent.StopAnswered(RUN, false));
        ping(OWNER);
        tick();
        answerPollAt(mNow - START_MILLIS, TARGET, running);
    }
}
