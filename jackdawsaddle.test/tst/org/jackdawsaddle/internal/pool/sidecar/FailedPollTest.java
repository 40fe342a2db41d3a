package org.jackdawsaddle.internal.pool.sidecar;

import static org.testng.Assert.assertEquals;

import org.jackdawsaddle.pool.TargetGateway.PollReply;
import org.testng.annotations.Test;

/**
 * Guards against runs that count as ended because the clock has jumped while polls fail at once.
 */
public class FailedPollTest extends PoolSidecarCoreTestBase {
    private static final int FAILED_POLLS = 6;
    private static final long CLOCK_JUMP_MILLIS = 10_000;

    @Test
    public void keepsTheRunsWhenTheClockJumpsAfterPollsThatFailedAtOnce() {
        start(RUN);
        for (int poll = 0; poll < FAILED_POLLS; poll++) {
            reply(new PollReply.Unanswered());
            mNow += PollSchedule.RETRY_MILLIS;
            tick();
        }
        mNow += CLOCK_JUMP_MILLIS;
        tick();
        assertEquals(mCore.free().cores(), 15.0, "the run keeps its capacity");
    }
}
