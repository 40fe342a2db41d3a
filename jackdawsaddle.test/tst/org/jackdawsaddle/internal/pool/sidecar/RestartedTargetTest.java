package org.jackdawsaddle.internal.pool.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.internal.message.PoolMessage.TaskReport;
import org.jackdawsaddle.internal.pool.PoolTiming;
import org.jackdawsaddle.pool.TargetIncarnation;
import org.testng.annotations.Test;

/**
 * Guards against runs that count as ended while a new incarnation of their target, which has not
 * announced itself yet, runs them.
 */
public class RestartedTargetTest extends PoolSidecarCoreTestBase {
    private static final TargetIncarnation RESTARTED = TARGET.restartedAt(9, 0);
    private static final Run OTHER_RUN = new Run("00000000000000bb.0.0.0", 1);
    private static final long POLL_MILLIS = 130;
    private static final long WATCHED_MILLIS = 3 * PoolTiming.LEASE_MILLIS;

    @Test
    public void keepsARunThatTheNewIncarnationLists() {
        start(RUN);
        for (long passed = 0; passed < WATCHED_MILLIS; passed += POLL_MILLIS) {
            mNow += POLL_MILLIS;
            ping(OWNER);
            answerPollAs(RESTARTED, RUN);
            tick();
        }
        assertEquals(reports(OWNER), List.of());
    }

    @Test
    public void endsARunOfTheOldIncarnationAtOnce() {
        start(RUN);
        start(OTHER_RUN);
        answerPollAs(RESTARTED, OTHER_RUN);
        answerPollAs(RESTARTED, OTHER_RUN);
        assertEquals(
                reports(OWNER),
                List.of(
                        new TaskReport(RUN, ReportKind.SUSPECTED, QUEUE),
                        new TaskReport(RUN, ReportKind.CRASHED)));
    }

    @Test
    public void servesOnlyAfterTheNewIncarnationHasAnnouncedItsCapacity() {
        start(RUN);
        answerPollAs(RESTARTED, RUN);
        answerPollAs(RESTARTED, RUN);
        assertFalse(mCore.serving());
        handle(new PoolSidecarEvent.TargetAnnounced(announced(RESTARTED)));
        assertTrue(mCore.serving());
    }

    @Test
    public void ignoresASnapshotOfAnEarlierIncarnation() {
        start(RUN);
        answerPollAs(TARGET.restartedAt(4, 0));
        answerPoll(RUN);
        assertEquals(reports(OWNER), List.of());
        assertTrue(mCore.serving());
    }

    private static TargetIncarnation announced(TargetIncarnation target) {
        return new TargetIncarnation(
                target.id(),
                target.startedAt(),
                1,
                target.service(),
                target.address(),
                target.capacity(),
                target.labels(),
                false,
                target.clock());
    }
}
