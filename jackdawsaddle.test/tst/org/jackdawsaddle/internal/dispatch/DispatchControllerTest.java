package org.jackdawsaddle.internal.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.LimitObject;
import org.jackdawsaddle.errors.ErrorCode;
import org.jackdawsaddle.internal.message.SidecarMessage;
import org.jackdawsaddle.internal.message.TaskResult;
import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.JobRequest;
import org.jackdawsaddle.job.SubmissionId;
import org.jackdawsaddle.job.TaskRequest;
import org.testng.annotations.Test;

/** Tests admission, limits, retries, target health and cancellation. */
public class DispatchControllerTest extends EntryCoreTestBase {

    @Test
    public void jobIsAnsweredOnceAllTasksAreComplete() {
        NodeId one = startSidecar("one");
        long token = submit("batch", 3);
        assertEquals(completeTasks(one), SLOTS, "tasks on two slots");
        assertFalse(mAnswers.containsKey(token), "no partial answer");
        assertEquals(completeTasks(one), 1, "the waiting task");
        assertEquals(mAnswers.get(token), new JobAnswer.Complete(List.of("done", "done", "done")));
    }

    @Test
    public void resubmissionSharesTheAnswerAndStartsNothing() {
        NodeId one = startSidecar("one");
        JobRequest request = request("batch");
        long first = submit(request);
        long second = submit(request);
        assertEquals(completeTasks(one), 1, "starts");
        long third = submit(request);
        assertEquals(mAnswers.get(first), mAnswers.get(second));
        assertEquals(mAnswers.get(first), mAnswers.get(third));
        assertEquals(unansweredStarts(one), 0, "starts after the end");
    }

    @Test
    public void idReusedWithAnotherBodyIsRefused() {
        NodeId one = startSidecar("one");
        JobRequest request = request("batch");
        submit(request);
        JobRequest other =
                new JobRequest(
                        request.id(), "team", "batch", 0, List.of(new TaskRequest("other", 0)));
        assertNotRun(submit(other), ErrorCode.ID_REUSED);
        assertEquals(completeTasks(one), 1, "starts");
    }

    @Test
    public void jobBeyondATeamQuotaOrKindLimitIsRefused() {
        startSidecar("one");
        submit("small", "batch", 3, 0);
        assertNotRun(submit("small", "batch", 1, 0), ErrorCode.LIMIT_EXCEEDED);
        publish(2, configurationSet(List.of(new LimitObject("cap", "batch", "", 4)), 100));
        assertNotRun(submit("batch", 2), ErrorCode.LIMIT_EXCEEDED);
        assertFalse(mAnswers.containsKey(submit("batch", 1)), "within the limit");
    }

    @Test
    public void burstBeyondTheQueueIsRefusedAtOnce() {
        startSidecar("one");
        submit("batch", 100);
        long token = submit("batch", 50);
        assertNotRun(token, ErrorCode.OVERLOADED);
    }

    @Test
    public void jobThatCannotMeetItsDeadlineIsRefusedOnArrival() {
        startSidecar("one");
        submit("batch", 80);
        assertNotRun(submit("team", "batch", 1, mNow + 500), ErrorCode.DEADLINE_UNREACHABLE);
    }

    @Test
    public void queuedJobIsNotRunAfterItsDeadline() {
        NodeId one = startSidecar("one");
        submit("batch", 2);
        long token = submit("team", "batch", 1, mNow + 400);
        advance(500);
        assertNotRun(token, ErrorCode.DEADLINE_PASSED);
        completeTasks(one);
        assertEquals(unansweredStarts(one), 0, "starts after the refusal");
    }

    @Test
    public void refusalBecomesAFailureIfTheLeaseIsNotConfirmed() {
        NodeId one = startSidecar("one");
        submit("batch", 2);
        long token = submit("team", "batch", 1, mNow + 400);
        handle(new EntryEvent.SidecarLost(one));
        advance(3_000);
        assertEquals(
                ((JobAnswer.Failed) mAnswers.get(token)).code(), ErrorCode.AUTHORITY_UNCONFIRMED);
    }

    @Test
    public void runningTasksNeverExceedTheCapacityOfATarget() {
        NodeId one = startSidecar("one");
        long token = submit("heavy", 2);
        assertEquals(completeTasks(one), 1, "two times 5 cores do not fit in 8");
        assertEquals(completeTasks(one), 1, "the second task");
        assertTrue(mAnswers.get(token) instanceof JobAnswer.Complete);
        assertNotRun(submit("huge", 1), ErrorCode.NEVER_FITS);
    }

    @Test
    public void refusedTaskIsStartedElsewhere() {
        NodeId one = startSidecar("one");
        NodeId two = startSidecar("two");
        long token = submit("batch", 1);
        NodeId first = unansweredStarts(one) > 0 ? one : two;
        NodeId other = first.equals(one) ? two : one;
        endTasks(first, TaskResult.State.NOT_RUN, TaskResult.Refusal.NO_SLOT);
        assertEquals(completeTasks(other), 1, "start elsewhere");
        assertTrue(mAnswers.get(token) instanceof JobAnswer.Complete);
    }

    @Test
    public void onlyAnIdempotentRequestIsRetriedAfterAFailure() {
        NodeId one = startSidecar("one");
        NodeId two = startSidecar("two");
        long batch = submit("batch", 1);
        assertEquals(failTasks(one) + failTasks(two), 1, "starts of the task");
        assertEquals(((JobAnswer.Failed) mAnswers.get(batch)).code(), ErrorCode.TASK_FAILED);
        long read = submit("read", 1);
        NodeId first = unansweredStarts(one) > 0 ? one : two;
        failTasks(first);
        assertEquals(completeTasks(first.equals(one) ? two : one), 1, "the retry elsewhere");
        assertTrue(mAnswers.get(read) instanceof JobAnswer.Complete);
    }

    @Test
    public void retriesStopWhenTheRetryBudgetIsSpent() {
        NodeId one = startSidecar("one");
        NodeId two = startSidecar("two");
        for (int request = 0; request < 60; request++) {
            submit("read", 1);
            while (failTasks(one) + failTasks(two) > 0) {
                advance(Timing.TICK_MILLIS);
            }
        }
        assertEquals(mAnswers.size(), 60, "answers");
        assertTrue(mCore.counterValue(EntryCounter.REQUESTS_RETRIED) <= 25, "retries");
        assertTrue(mCore.counterValue(EntryCounter.RETRIES_SUPPRESSED) > 0, "suppressed retries");
    }

    @Test
    public void failingTargetIsDistinguishedFromAFailingJobKind() {
        NodeId good = startSidecar("good");
        NodeId bad = startSidecar("bad");
        for (int job = 0; job < 8; job++) {
            submit("batch", 3);
            failTasks(bad);
            completeTasks(good);
            completeTasks(good);
            advance(100);
        }
        assertEquals(mCore.counterValue(EntryCounter.PROBATIONS), 1, "the failing target alone");
        startEntry();
        NodeId one = startSidecar("one");
        NodeId two = startSidecar("two");
        for (int round = 0; round < 20; round++) {
            submit("batch", 4);
            failTasks(one);
            failTasks(two);
            advance(100);
        }
        submit("read", 1);
        assertEquals(completeTasks(one) + completeTasks(two), 1, "a target for other kinds");
    }

    @Test
    public void manyCancellationsAreSentInOneMessage() {
        NodeId one = startSidecar("one");
        List<JobRequest> requests = new ArrayList<>();
        List<Long> tokens = new ArrayList<>();
        for (int job = 0; job < 50; job++) {
            requests.add(request("batch"));
            tokens.add(submit(requests.getLast()));
        }
        requests.forEach(request ->
                mCore.handle(new EntryEvent.CallerCancelled(request.id(), "service"), mNow));
        advance(100);
        assertEquals(mAnswers.size(), 50, "answers");
        assertTrue(mAnswers.get(tokens.getFirst()) instanceof JobAnswer.Failed, "started");
        assertNotRun(tokens.getLast(), ErrorCode.CANCELLED);
        assertEquals(mStops.size(), SLOTS, "stopped tasks");
        assertEquals(mStopMessageCount, 1, "messages");
        assertEquals(unansweredStarts(one), SLOTS, "starts");
    }

    @Test
    public void targetThatIsNotServingGetsNoTasks() {
        NodeId one = startSidecar("one");
        announce(one, "one", false);
        submit("batch", 1);
        advance(1_000);
        assertEquals(unansweredStarts(one), 0, "starts");
    }

    @Test
    public void targetSpeedsAreLearnedDespiteWrongDeclaredRunTimes() {
        NodeId fast = startSidecar("fast");
        NodeId slow = startSidecar("slow");
        for (int round = 0; round < 60; round++) {
            submit("batch", 4);
            completeTasksAfter(fast, 300_000);
            completeTasksAfter(slow, 900_000);
            advance(100);
        }
        submit("batch", 2);
        assertEquals(unansweredStarts(fast), SLOTS, "tasks on the faster target");
        assertEquals(unansweredStarts(slow), 0, "tasks on the slower target");
    }

    @Test
    public void olderConfigurationIsIgnored() {
        publish(5, configurationSet(List.of(), 100));
        publish(4, configurationSet(List.of(new LimitObject("cap", "batch", "", 1)), 100));
        assertEquals(mCore.status().revision(), 5);
    }

    /** Completes the started tasks of a sidecar, with the given run time in microseconds. */
    private void completeTasksAfter(NodeId sidecar, long runMicros) {
        var started = mStarts.getOrDefault(sidecar, new ArrayList<>());
        mStarts.put(sidecar, new ArrayList<>());
        started.forEach(start ->
                receive(
                        sidecar,
                        new SidecarMessage.TaskResults(
                                0,
                                List.of(
                                        new TaskResult(
                                                start.task(),
                                                TaskResult.State.COMPLETED,
                                                "done",
                                                TaskResult.Refusal.NONE,
                                                runMicros)))));
    }

    private JobRequest request(String kind) {
        return new JobRequest(
                SubmissionId.create(mNow, mRandom),
                "team",
                kind,
                0,
                List.of(new TaskRequest("work", 100)));
    }

    private void assertNotRun(long token, ErrorCode code) {
        assertTrue(
                mAnswers.get(token) instanceof JobAnswer.NotRun, "answer " + mAnswers.get(token));
        assertEquals(((JobAnswer.NotRun) mAnswers.get(token)).code(), code);
    }
}
