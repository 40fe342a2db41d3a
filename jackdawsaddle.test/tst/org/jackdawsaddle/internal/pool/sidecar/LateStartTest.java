package org.jackdawsaddle.internal.pool.sidecar;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.internal.message.PoolMessage.TaskReport;
import org.jackdawsaddle.internal.pool.PoolTiming;
import org.jackdawsaddle.pool.TargetGateway.PollReply;
import org.jackdawsaddle.pool.TargetGateway.StartReply;
import org.testng.annotations.Test;

/**
 * Guards against a run that counts as ended with the lease although its start was left unanswered
 * and its stop unconfirmed: the target started it late, while the task ran elsewhere.
 */
public class LateStartTest extends PoolSidecarCoreTestBase {
    private static final long POLL_MILLIS = 130;
    private static final long SILENCE_MILLIS = 5_000;

    @Test
    public void keepsARunThatMayStartLate() {
        order(RUN);
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.UNANSWERED));
        stayUnanswered();
        assertEquals(reports(OWNER), List.of());
        assertEquals(mCore.free().cores(), 15.0, "the run keeps its capacity");
        assertEquals(lastRoom(OTHER).unsettledJobs(), List.of(JOB));
    }

    @Test
    public void keepsARunWhoseStartIsStillInFlight() {
        order(RUN);
        stayUnanswered();
        assertEquals(reports(OWNER), List.of());
    }

    @Test
    public void endsTheRunOnceTheTargetConfirmsTheStop() {
        keepsARunThatMayStartLate();
        handle(new PoolSidecarEvent.StopAnswered(RUN, true));
        answerPoll();
        answerPoll();
        assertEquals(reports(OWNER), List.of(new TaskReport(RUN, ReportKind.ENDED)));
        assertEquals(mCore.counterValue(PoolSidecarCounter.RUNS_KEPT_PAST_LEASE), 1);
    }

    @Test
    public void stopsTheRunWhenItHasStartedLate() {
        keepsARunThatMayStartLate();
        answerPoll(RUN);
        handle(new PoolSidecarEvent.StopAnswered(RUN, true));
        answerPoll();
        answerPoll();
        assertEquals(reports(OWNER), List.of(new TaskReport(RUN, ReportKind.ENDED)));
    }

    /** Its entry must not count the run as ended if the sidecar falls silent. */
    @Test
    public void tellsItsEntryUpToWhichRequestNoRunMayStartLater() {
        order(RUN);
        ping(OWNER);
        mNow += PoolTiming.HEARTBEAT_INTERVAL_MILLIS;
        ping(OWNER);
        assertEquals(lastRoom(OWNER).settledStarts(), 0, "not answered");
        handle(new PoolSidecarEvent.EntryLost(OWNER));
        handle(new PoolSidecarEvent.EntryConnected(OWNER));
        ping(OWNER);
        assertEquals(lastRoom(OWNER).settledStarts(), -1, "requested on an earlier connection");
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.STARTED));
        mNow += PoolTiming.HEARTBEAT_INTERVAL_MILLIS;
        ping(OWNER);
        assertEquals(lastRoom(OWNER).settledStarts(), 0, "answered; nothing requested since");
    }

    /** A target that has withdrawn its announcement ends, and with it all that it was ordered. */
    @Test
    public void endsTheRunWithTheLeaseIfTheTargetHasLeft() {
        order(RUN);
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.UNANSWERED));
        handle(new PoolSidecarEvent.TargetWithdrawn(TARGET.id()));
        stayUnanswered();
        assertEquals(reports(OWNER), List.of(new TaskReport(RUN, ReportKind.ENDED)));
    }

    /** No process is left that could carry out the order. */
    @Test
    public void endsTheRunWithTheLeaseIfTheTargetIsGone() {
        order(RUN);
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.UNANSWERED));
        for (long millis = 0; millis < SILENCE_MILLIS; millis += PollSchedule.RETRY_MILLIS) {
            mNow += PollSchedule.RETRY_MILLIS;
            reply(new PollReply.Unreachable());
            ping(OWNER);
            tick();
        }
        assertEquals(reports(OWNER), List.of(new TaskReport(RUN, ReportKind.ENDED)));
    }

    private void order(PoolMessage.Run run) {
        send(OWNER, new PoolMessage.Start(1, mNow, List.of(task(run))));
    }

    /** Leaves all orders and polls unanswered for longer than any lease. */
    private void stayUnanswered() {
        for (long millis = 0; millis < SILENCE_MILLIS; millis += POLL_MILLIS) {
            mNow += POLL_MILLIS;
            reply(new PollReply.Unanswered());
            handle(new PoolSidecarEvent.StopAnswered(RUN, false));
            mNow += PollSchedule.RETRY_MILLIS;
            ping(OWNER);
            ping(OTHER);
            tick();
        }
        mNow += PoolTiming.ROOM_INTERVAL_MILLIS;
        tick();
    }
}
