package org.jackdawsaddle.internal.pool.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.pool.PoolTiming;
import org.testng.annotations.Test;

/**
 * Guards against an entry that starts the tasks of a job again while runs of another entry for the
 * same job have not ended in time.
 */
public class UnsettledRunTest extends PoolSidecarCoreTestBase {
    @Test
    public void tellsOtherEntriesOfTheRunsOfALostEntryAtOnce() {
        start(RUN);
        handle(new PoolSidecarEvent.EntryLost(OWNER));
        assertEquals(lastRoom(OTHER).unsettledJobs(), List.of(JOB));
    }

    @Test
    public void tellsOtherEntriesWhenTheEntryIsBack() {
        start(RUN);
        handle(new PoolSidecarEvent.EntryLost(OWNER));
        handle(new PoolSidecarEvent.EntryConnected(OWNER));
        ping(OWNER);
        assertEquals(lastRoom(OTHER).unsettledJobs(), List.of(JOB), "it may stop the run yet");
        mNow += PoolTiming.RECONNECT_TIMEOUT_MILLIS + PoolTiming.STOP_TIMEOUT_MILLIS;
        ping(OWNER);
        ping(OTHER);
        assertEquals(lastRoom(OTHER).unsettledJobs(), List.of());
    }

    @Test
    public void tellsOtherEntriesOfAStopThatIsNotConfirmedInTime() {
        start(RUN);
        send(OWNER, new PoolMessage.Stop(List.of(RUN)));
        handle(new PoolSidecarEvent.StopAnswered(RUN, false));
        mNow += PoolTiming.STOP_TIMEOUT_MILLIS;
        ping(OTHER);
        assertEquals(lastRoom(OTHER).unsettledJobs(), List.of(JOB));
    }

    @Test
    public void tellsOtherEntriesThatTheRunHasEndedAfterAll() {
        tellsOtherEntriesOfAStopThatIsNotConfirmedInTime();
        handle(new PoolSidecarEvent.StopAnswered(RUN, true));
        answerPoll();
        answerPoll();
        assertTrue(mCore.nextTickAt() <= mNow + PoolTiming.ROOM_INTERVAL_MILLIS);
        mNow += PoolTiming.ROOM_INTERVAL_MILLIS;
        tick();
        assertEquals(lastRoom(OTHER).unsettledJobs(), List.of());
    }

    @Test
    public void doesNotTellAnEntryOfItsOwnRuns() {
        start(RUN);
        send(OWNER, new PoolMessage.Stop(List.of(RUN)));
        mNow += PoolTiming.STOP_TIMEOUT_MILLIS;
        ping(OWNER);
        assertEquals(lastRoom(OWNER).unsettledJobs(), List.of());
    }

    /** Other entries must not start the tasks between the return of the entry and the stop. */
    @Test
    public void goesOnTellingOtherEntriesWhileAReturnedEntryStopsTheRun() {
        start(RUN);
        handle(new PoolSidecarEvent.EntryLost(OWNER));
        assertEquals(lastRoom(OTHER).unsettledJobs(), List.of(JOB));
        handle(new PoolSidecarEvent.EntryConnected(OWNER));
        send(OWNER, new PoolMessage.Stop(List.of(RUN)));
        handle(new PoolSidecarEvent.StopAnswered(RUN, false));
        assertEquals(lastRoom(OTHER).unsettledJobs(), List.of(JOB));
    }
}
