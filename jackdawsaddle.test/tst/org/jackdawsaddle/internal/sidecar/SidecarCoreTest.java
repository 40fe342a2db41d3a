package org.jackdawsaddle.internal.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.dispatch.Timing;
import org.jackdawsaddle.internal.message.EntryMessage;
import org.jackdawsaddle.internal.message.SidecarMessage;
import org.jackdawsaddle.internal.message.StartTask;
import org.jackdawsaddle.internal.message.TaskKey;
import org.jackdawsaddle.internal.message.TaskResult;
import org.jackdawsaddle.internal.message.TaskResult.Refusal;
import org.jackdawsaddle.job.SubmissionId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which start requests a sidecar accepts, and which results it reports. */
public class SidecarCoreTest {
    private static final NodeId OWNER = new NodeId("owner", 1);
    private static final NodeId NEW_OWNER = new NodeId("new-owner", 1);
    private static final Demand OVER_HALF_OF_CORES = new Demand(5, 100, 0);

    private final Random mRandom = new Random(1);
    private final List<SidecarAction> mActions = new ArrayList<>();
    private SidecarCore mCore;
    private long mNow = 1_800_000_000_000L;

    @BeforeMethod
    public void startSidecar() {
        mActions.clear();
        mCore = new SidecarCore(new NodeId("sidecar", 1), "here", mNow);
        handle(new SidecarEvent.EntryConnected(OWNER));
        handle(new SidecarEvent.EntryConnected(NEW_OWNER));
        announce(2);
        receive(OWNER, new EntryMessage.TargetConfiguration(1, false, 0));
        receive(OWNER, new EntryMessage.Seal(0, 1));
        mActions.clear();
    }

    @Test
    public void startOfUnsealedEpochIsRefused() {
        receive(NEW_OWNER, startTasks(2, newStart(), Demand.NONE));
        assertEquals(refusals(), List.of(Refusal.SEALED));
    }

    @Test
    public void formerOwnerIsRefusedAndNewOwnerGetsTheResults() {
        StartTask running = newStart();
        receive(OWNER, startTasks(1, running, Demand.NONE));
        receive(NEW_OWNER, new EntryMessage.Seal(0, 2));
        receive(OWNER, startTasks(1, newStart(), Demand.NONE));
        assertEquals(refusals(), List.of(Refusal.SEALED));
        mActions.clear();
        complete(running);
        assertTrue(
                mActions.stream()
                        .anyMatch(action ->
                                action instanceof SidecarAction.SendToEntry send
                                        && send.entry().equals(NEW_OWNER)));
    }

    @Test
    public void sealReplyReportsNewestStartAndRenewal() {
        StartTask start = newStart();
        receive(OWNER, startTasks(1, start, Demand.NONE));
        receive(OWNER, new EntryMessage.RenewLease(0, 1, 77));
        mActions.clear();
        receive(NEW_OWNER, new EntryMessage.Seal(0, 2));
        assertEquals(
                mActions,
                List.of(
                        new SidecarAction.SendToEntry(
                                NEW_OWNER,
                                new SidecarMessage.Sealed(
                                        0, 2, start.task().id().unixMillis(), 77))));
    }

    @Test
    public void duplicateStartsRunTheTaskOnce() {
        StartTask start = newStart();
        receive(OWNER, startTasks(1, start, Demand.NONE));
        receive(OWNER, startTasks(1, start, Demand.NONE));
        complete(start);
        receive(OWNER, startTasks(1, start, Demand.NONE));
        assertEquals(runCount(), 1);
        assertEquals(mCore.counterValue(SidecarCounter.DUPLICATE_STARTS), 2);
    }

    @Test
    public void slotsAndResourcesAreNotOvercommitted() {
        receive(OWNER, startTasks(1, newStart(), OVER_HALF_OF_CORES));
        receive(OWNER, startTasks(1, newStart(), OVER_HALF_OF_CORES));
        receive(OWNER, startTasks(1, newStart(), Demand.NONE));
        receive(OWNER, startTasks(1, newStart(), Demand.NONE));
        assertEquals(refusals(), List.of(Refusal.NO_ROOM, Refusal.NO_SLOT));
        assertEquals(runCount(), 2);
    }

    @Test
    public void leavingSidecarRefusesStartsAndBecomesIdleAfterRelease() {
        StartTask start = newStart();
        receive(OWNER, startTasks(1, start, Demand.NONE));
        handle(new SidecarEvent.LeaveRequested());
        receive(OWNER, startTasks(1, newStart(), Demand.NONE));
        assertEquals(refusals(), List.of(Refusal.LEAVING));
        assertTrue(!mCore.idle());
        complete(start);
        assertTrue(!mCore.idle(), "the owner has not released the partition yet");
        receive(OWNER, new EntryMessage.Release(0, 1));
        assertTrue(mCore.idle());
    }

    @Test
    public void startIsRefusedAfterAnnouncementTimeout() {
        mNow += 6_000;
        handle(new SidecarEvent.Tick());
        receive(OWNER, startTasks(1, newStart(), Demand.NONE));
        assertEquals(refusals(), List.of(Refusal.LEAVING));
    }

    @Test
    public void stoppedTaskIsNotStartedLater() {
        StartTask start = newStart();
        receive(OWNER, new EntryMessage.StopTasks(0, 1, List.of(start.task())));
        receive(OWNER, startTasks(1, start, Demand.NONE));
        assertEquals(runCount(), 0);
    }

    @Test
    public void expiredIdIsRefusedAfterItsRecordIsRemoved() {
        StartTask start = newStart();
        receive(OWNER, startTasks(1, start, Demand.NONE));
        complete(start);
        mNow += Timing.ID_LIFETIME_MILLIS + 2 * Timing.MAX_CLOCK_SKEW_MILLIS + 1_000;
        announce(2);
        handle(new SidecarEvent.Tick());
        assertEquals(mCore.recordedTaskCount(), 0, "tasks on record after their ids have expired");
        receive(OWNER, startTasks(1, start, Demand.NONE));
        assertEquals(refusals(), List.of(Refusal.EXPIRED));
    }

    @Test
    public void olderRevisionIsNotApplied() {
        receive(OWNER, new EntryMessage.TargetConfiguration(3, true, 0));
        receive(OWNER, new EntryMessage.TargetConfiguration(2, false, 0));
        receive(OWNER, startTasks(1, newStart(), Demand.NONE));
        assertEquals(refusals(), List.of(Refusal.LEAVING));
        assertEquals(mCore.revision(), 3);
    }

    private void announce(int slots) {
        handle(
                new SidecarEvent.TargetAnnounced(
                        new SidecarEvent.Announcement(
                                "target",
                                "service",
                                "127.0.0.1:1",
                                slots,
                                64,
                                new Demand(8, 1_000, 0),
                                Demand.NONE)));
    }

    private StartTask newStart() {
        SubmissionId id = SubmissionId.create(mNow, mRandom);
        return new StartTask(new TaskKey(id, 0), "kind", "work", 1_000, Demand.NONE);
    }

    private static EntryMessage startTasks(long epoch, StartTask start, Demand demand) {
        StartTask startWithDemand =
                new StartTask(
                        start.task(),
                        start.kind(),
                        start.payload(),
                        start.remainingMillis(),
                        demand);
        return new EntryMessage.StartTasks(0, epoch, List.of(startWithDemand));
    }

    private void complete(StartTask start) {
        handle(
                new SidecarEvent.TargetAnswered(
                        start.task(),
                        SidecarEvent.TargetAnswered.Outcome.COMPLETED,
                        "done",
                        1_000));
    }

    private void receive(NodeId entry, EntryMessage message) {
        handle(new SidecarEvent.EntrySent(entry, message));
    }

    private void handle(SidecarEvent event) {
        mCore.handle(event, mNow);
        mActions.addAll(mCore.actions());
    }

    private long runCount() {
        return mActions.stream().filter(SidecarAction.RunTask.class::isInstance).count();
    }

    private List<Refusal> refusals() {
        return mActions.stream()
                .filter(SidecarAction.SendToEntry.class::isInstance)
                .map(action -> ((SidecarAction.SendToEntry) action).message())
                .filter(SidecarMessage.TaskResults.class::isInstance)
                .flatMap(message -> ((SidecarMessage.TaskResults) message).results().stream())
                .filter(result -> result.state() == TaskResult.State.NOT_RUN)
                .map(TaskResult::refusal)
                .toList();
    }
}
