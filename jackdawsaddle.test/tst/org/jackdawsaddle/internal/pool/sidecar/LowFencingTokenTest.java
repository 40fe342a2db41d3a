package org.jackdawsaddle.internal.pool.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.internal.message.PoolMessage.TaskReport;
import org.jackdawsaddle.pool.TargetGateway.PollReply;
import org.jackdawsaddle.pool.TargetGateway.StartReply;
import org.testng.annotations.Test;

/**
 * Guards against a sidecar that stays away from its target for good, as the clock was set back
 * between two starts of it and its fencing token is lower than that of its earlier process.
 */
public class LowFencingTokenTest extends PoolSidecarCoreTestBase {
    private static final long TOKEN = 1_000_000;

    /** The clock was set back by this much, in milliseconds. */
    private static final long STEP_BACK_MILLIS = 3_600_000;

    private static final int MAX_POLLS = 20;

    @Test
    public void servesOnceItsTokenIsHigherThanTheEarlierOne() {
        mCore = new PoolSidecarCore(new NodeId("sidecar", 2), "here", TOKEN, LEASE_MILLIS);
        handle(new PoolSidecarEvent.EntryConnected(OWNER));
        handle(new PoolSidecarEvent.TargetAnnounced(TARGET));
        for (int poll = 0; poll < MAX_POLLS && mLatestToken <= TOKEN + STEP_BACK_MILLIS; poll++) {
            reply(new PollReply.Fenced());
            mNow += PollSchedule.RETRY_MILLIS;
            tick();
        }
        assertTrue(mLatestToken > TOKEN + STEP_BACK_MILLIS, "token " + mLatestToken);
        answerPoll();
        assertTrue(mCore.serving());
    }

    @Test
    public void raisesItsTokenOnceForStartsThatWereRefusedTogether() {
        PoolMessage.Run other = new PoolMessage.Run(JOB + ".0.0.1", 1);
        send(OWNER, new PoolMessage.Start(1, mNow, List.of(task(RUN), task(other))));
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.FENCED));
        handle(new PoolSidecarEvent.StartAnswered(other, StartReply.FENCED));
        answerPoll();
        long raised = mLatestToken;
        mNow += PollSchedule.RETRY_MILLIS;
        tick();
        assertEquals(mLatestToken, raised);
        assertEquals(
                reports(OWNER),
                List.of(
                        new TaskReport(RUN, ReportKind.NOT_SERVING),
                        new TaskReport(other, ReportKind.NOT_SERVING)));
    }
}
