package org.jackdawsaddle.internal.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.errors.ErrorCode;
import org.jackdawsaddle.internal.message.EntryMessage.Inquiry;
import org.jackdawsaddle.internal.message.SidecarMessage.InquiryAnswer;
import org.jackdawsaddle.internal.message.TaskKey;
import org.jackdawsaddle.internal.message.TaskResult;
import org.jackdawsaddle.job.SubmissionId;

/**
 * Finds out what an earlier owner started of a submission, and what became of tasks whose sidecar
 * was out of reach.
 *
 * <p>Submissions in doubt are collected for one tick, so that a takeover costs few messages.
 */
final class RecoveryController {
    private static final class OpenInquiry {
        final OwnedPartition mPartition;
        final Set<NodeId> mAwaited = new HashSet<>();
        final Set<NodeId> mAnswered = new HashSet<>();
        final Map<SubmissionId, Job> mJobs = new LinkedHashMap<>();

        OpenInquiry(OwnedPartition partition) {
            mPartition = partition;
        }
    }

    private final EntryBoard mBoard;
    private final JobEnder mEnder;
    private final Map<OwnedPartition, Map<SubmissionId, Job>> mCollected = new LinkedHashMap<>();
    private final Map<OwnedPartition, List<Job>> mUnsettled = new LinkedHashMap<>();
    private final Map<Long, OpenInquiry> mOpen = new LinkedHashMap<>();
    private final Map<Long, List<TaskKey>> mRunningAsked = new HashMap<>();
    private long mNumber;

    RecoveryController(EntryBoard board, JobEnder ender) {
        mBoard = board;
        mEnder = ender;
    }

    /** Holds a job until every sidecar has told what it knows of it. */
    void inquire(OwnedPartition partition, Job job) {
        mBoard.count(EntryCounter.SUBMISSIONS_IN_DOUBT);
        partition.mBook.add(job);
        collect(partition, job);
    }

    private void collect(OwnedPartition partition, Job job) {
        mCollected
                .computeIfAbsent(partition, key -> new LinkedHashMap<>())
                .put(job.mRequest.id(), job);
    }

    /** Asks a sidecar that is back in reach what became of the tasks it was given. */
    void inquireRunning(OwnedPartition partition, SidecarView sidecar) {
        List<SubmissionId> ids =
                sidecar.mRunning.keySet().stream().map(TaskKey::id).distinct().toList();
        if (!ids.isEmpty()) {
            mNumber++;
            mRunningAsked.put(mNumber, List.copyOf(sidecar.mRunning.keySet()));
            mBoard.mOutbox.send(
                    sidecar.node(), new Inquiry(partition.mIndex, partition.mEpoch, mNumber, ids));
        }
    }

    /** Sends the inquiries collected since the last call. */
    void onTick(BiConsumer<OwnedPartition, Job> admit) {
        mBoard.owned().forEach(this::askAgain);
        Map<OwnedPartition, Map<SubmissionId, Job>> collected = new LinkedHashMap<>(mCollected);
        mCollected.clear();
        collected.forEach((partition, jobs) -> ask(partition, jobs, admit));
    }

    /** Takes an answer; admits the jobs of which every sidecar has told. */
    void onAnswer(
            OwnedPartition partition,
            SidecarView sidecar,
            InquiryAnswer answer,
            BiConsumer<OwnedPartition, Job> admit) {
        OpenInquiry open = mOpen.get(answer.number());
        if (open == null) {
            return;
        }
        for (TaskResult known : answer.known()) {
            adopt(partition, sidecar, open.mJobs.get(known.task().id()), known);
        }
        open.mAwaited.remove(sidecar.node());
        open.mAnswered.add(sidecar.node());
        finishIfWhole(partition, answer.number(), open, admit);
    }

    /** Drops all inquiries of a partition that has another owner. */
    void onPartitionLost(OwnedPartition partition) {
        mCollected.remove(partition);
        mUnsettled.remove(partition);
        mOpen.values().removeIf(open -> open.mPartition == partition);
    }

    /** Stops waiting for a sidecar that is out of reach. */
    void onSidecarLost(
            OwnedPartition partition, NodeId sidecar, BiConsumer<OwnedPartition, Job> admit) {
        for (Map.Entry<Long, OpenInquiry> entry : List.copyOf(mOpen.entrySet())) {
            OpenInquiry open = entry.getValue();
            if (open.mAwaited.remove(sidecar)) {
                finishIfWhole(partition, entry.getKey(), open, admit);
            }
        }
    }

    private void ask(
            OwnedPartition partition,
            Map<SubmissionId, Job> jobs,
            BiConsumer<OwnedPartition, Job> admit) {
        OpenInquiry open = new OpenInquiry(partition);
        open.mJobs.putAll(jobs);
        mNumber++;
        mOpen.put(mNumber, open);
        List<SubmissionId> ids = List.copyOf(jobs.keySet());
        for (RosterMember member : partition.record().roster()) {
            if (reachable(member.sidecar())) {
                open.mAwaited.add(member.sidecar());
                mBoard.mOutbox.send(
                        member.sidecar(),
                        new Inquiry(partition.mIndex, partition.mEpoch, mNumber, ids));
            }
        }
        finishIfWhole(partition, mNumber, open, admit);
    }

    private void finishIfWhole(
            OwnedPartition partition,
            long number,
            OpenInquiry open,
            BiConsumer<OwnedPartition, Job> admit) {
        if (!open.mAwaited.isEmpty()) {
            return;
        }
        mOpen.remove(number);
        for (Job job : open.mJobs.values()) {
            if (!job.ended()) {
                conclude(partition, job, open.mAnswered, admit);
            }
        }
    }

    private void conclude(
            OwnedPartition partition,
            Job job,
            Set<NodeId> answered,
            BiConsumer<OwnedPartition, Job> admit) {
        boolean doubtful = !job.allTouched() && unknowable(partition, job, answered);
        if (doubtful && job.retriable()) {
            job.assumeTouched();
        } else if (doubtful && mayBeSettled(partition, job)) {
            mUnsettled.computeIfAbsent(partition, key -> new ArrayList<>()).add(job);
            return;
        } else if (doubtful) {
            String detail = "A sidecar that may have started it is out of reach.";
            mEnder.fail(partition, job, ErrorCode.TARGET_LOST, detail);
            return;
        }
        if (job.completed() == job.tasks()) {
            mEnder.end(partition, job, job.whole());
            return;
        }
        admit.accept(partition, job);
    }

    /** Returns whether a sidecar that has not answered may have started tasks of the job. */
    private static boolean unknowable(OwnedPartition partition, Job job, Set<NodeId> answered) {
        long createdAt = job.mRequest.id().unixMillis();
        return partition.record().roster().stream()
                .map(RosterMember::sidecar)
                .filter(sidecar -> !answered.contains(sidecar))
                .anyMatch(sidecar ->
                        createdAt
                                <= partition.mUnsealed.getOrDefault(
                                        sidecar, partition.mDoubtUntil));
    }

    private boolean mayBeSettled(OwnedPartition partition, Job job) {
        long patience = partition.mActiveSince + Timing.DOUBT_PATIENCE_MILLIS;
        return mBoard.mNow < Math.min(patience, job.deadline());
    }

    /** Asks once more about the jobs that wait for a sidecar, if all are back or time is up. */
    private void askAgain(OwnedPartition partition) {
        List<Job> jobs = mUnsettled.getOrDefault(partition, List.of());
        boolean allBack = partition.inUse().stream().allMatch(this::reachable);
        long patience = partition.mActiveSince + Timing.DOUBT_PATIENCE_MILLIS;
        if (jobs.isEmpty() || !allBack && mBoard.mNow < patience) {
            return;
        }
        mUnsettled.remove(partition);
        jobs.stream().filter(job -> !job.ended()).forEach(job -> collect(partition, job));
    }

    private boolean reachable(NodeId sidecar) {
        return mBoard.sidecar(sidecar)
                .filter(view -> view.mConnected && view.mSealedEpoch > 0)
                .isPresent();
    }

    private void adopt(OwnedPartition partition, SidecarView sidecar, Job job, TaskResult known) {
        if (job == null || job.ended()) {
            return;
        }
        int index = known.task().index();
        switch (known.state()) {
            case COMPLETED -> job.completed(index, known.body());
            case RUNNING -> {
                job.started(index);
                long expected = job.expectedMillis(index);
                sidecar.add(new RunningTask(known.task(), job, expected, job.mKind.demand()));
            }
            case FAILED -> {
                job.failed(index);
                mEnder.fail(partition, job, ErrorCode.TASK_FAILED, known.body());
            }
            case FORGOTTEN ->
                    mEnder.fail(partition, job, ErrorCode.ANSWER_EXPIRED, sidecar.mHello.target());
            case NOT_RUN -> mBoard.count(EntryCounter.TASKS_REFUSED);
        }
    }

    /**
     * Completes an answer about running tasks: what the sidecar does not know it never received.
     *
     * @return one result for each task asked for, or none if the inquiry was of another type
     */
    List<TaskResult> resultsOfRunning(InquiryAnswer answer) {
        List<TaskKey> asked = mRunningAsked.remove(answer.number());
        if (asked == null) {
            return List.of();
        }
        Map<TaskKey, TaskResult> results = new LinkedHashMap<>();
        asked.forEach(
                key -> results.put(key, TaskResult.refused(key, TaskResult.Refusal.NOT_RECEIVED)));
        answer.known().forEach(known -> results.computeIfPresent(known.task(), (k, r) -> known));
        return List.copyOf(results.values());
    }
}
