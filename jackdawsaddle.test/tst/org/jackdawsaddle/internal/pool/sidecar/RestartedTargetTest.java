package org.jackdawsaddle.internal.pool.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage;
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

    /** A target may start again as one of another kind, with the same capacity. */
    @Test
    public void tellsEntriesOfTheLabelsOfTheNewIncarnation() {
        start(RUN);
        answerPollAs(RESTARTED, RUN);
        handle(new PoolSidecarEvent.TargetAnnounced(announced(RESTARTED, List.of("b"))));
        assertEquals(lastHello(OTHER).labels(), List.of("b"));
        mSent.clear();
        handle(new PoolSidecarEvent.TargetAnnounced(announced(RESTARTED, List.of("b"))));
        assertTrue(mSent.stream().noneMatch(RestartedTargetTest::isHello), "nothing has changed");
    }

    @Test
    public void ignoresASnapshotOfAnEarlierIncarnation() {
        start(RUN);
        answerPollAs(TARGET.restartedAt(4, 0));
        answerPoll(RUN);
        assertEquals(reports(OWNER), List.of());
        assertTrue(mCore.serving());
    }

    private PoolMessage.Hello lastHello(NodeId entry) {
        return mSent.stream()
                .filter(send -> send.entry().equals(entry) && isHello(send))
                .map(send -> (PoolMessage.Hello) send.message())
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    private static boolean isHello(PoolSidecarAction.SendToEntry send) {
        return send.message() instanceof PoolMessage.Hello;
    }

    private static TargetIncarnation announced(TargetIncarnation target) {
        return announced(target, target.labels());
    }

    private static TargetIncarnation announced(TargetIncarnation target, List<String> labels) {
        return new TargetIncarnation(
                target.id(),
                target.startedAt(),
                1,
                target.service(),
                target.address(),
                target.capacity(),
                labels,
                false,
                target.clock());
    }
}
