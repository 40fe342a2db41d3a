package org.jackdawsaddle.internal.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
 * Asks sidecars which tasks of a submission a previous owner has started, and, after a sidecar has
 * reconnected, what became of the tasks started on it.
 *
 * <p>A submission is in doubt if a previous owner may have started it. In-doubt submissions are
 * collected for one tick and asked about in one inquiry, so that a takeover needs few messages.
 */
final class RecoveryController {
    /** An inquiry that waits for the answers of sidecars. */
    private static final class OpenInquiry {
        final OwnedPartition mPartition;
        final Set<NodeId> mAwaited = new HashSet<>();
        final Set<NodeId> mAnswered = new HashSet<>();
        final Map<SubmissionId, Job> mJobs = new LinkedHashMap<>();

        OpenInquiry(OwnedPartition partition) {
            mPartition = partition;
        }
    }

    private final EntryState mState;
    private final JobEnder mEnder;

    /** The in-doubt jobs to ask about at the next tick. */
    private final Map<OwnedPartition, Map<SubmissionId, Job>> mNextInquiry = new LinkedHashMap<>();

    /** The jobs that may have been started on a sidecar that has not answered. */
    private final Map<OwnedPartition, List<Job>> mUnresolvedJobs = new LinkedHashMap<>();

    /** The inquiries about in-doubt jobs, by number. */
    private final Map<Long, OpenInquiry> mOpenInquiries = new LinkedHashMap<>();

    private long mLastInquiryNumber;

    RecoveryController(EntryState state, JobEnder ender) {
        mState = state;
        mEnder = ender;
    }

    /**
     * Defers the admission of an in-doubt job until the reachable sidecars have reported what they
     * know of it.
     */
    void inquire(OwnedPartition partition, Job job) {
        mState.count(EntryCounter.SUBMISSIONS_IN_DOUBT);
        partition.mJobs.add(job);
        addToNextInquiry(partition, job);
    }

    private void addToNextInquiry(OwnedPartition partition, Job job) {
        mNextInquiry
                .computeIfAbsent(partition, key -> new LinkedHashMap<>())
                .put(job.mRequest.id(), job);
    }

    /** Asks a reconnected sidecar what became of the tasks that it was asked to start. */
    void inquireRunning(OwnedPartition partition, SidecarView sidecar) {
        List<SubmissionId> ids =
                sidecar.mRunning.keySet().stream().map(TaskKey::id).distinct().toList();
        if (!ids.isEmpty()) {
            mLastInquiryNumber++;
            sidecar.mRunningInquiry =
                    Optional.of(
                            new RunningInquiry(
                                    mLastInquiryNumber, List.copyOf(sidecar.mRunning.keySet())));
            mState.mOutbox.sendToSidecar(
                    sidecar.node(),
                    new Inquiry(partition.mIndex, partition.mEpoch, mLastInquiryNumber, ids));
        }
    }

    /**
     * Sends one inquiry per partition about the jobs collected since the last call, and about those
     * that are still in doubt if it is time to ask again.
     *
     * @param admit admits a job about which all reachable sidecars have answered
     */
    void onTick(BiConsumer<OwnedPartition, Job> admit) {
        mState.ownedPartitions().forEach(this::retryUnresolved);
        Map<OwnedPartition, Map<SubmissionId, Job>> inquiries = new LinkedHashMap<>(mNextInquiry);
        mNextInquiry.clear();
        inquiries.forEach((partition, jobs) -> sendInquiry(partition, jobs, admit));
    }

    /**
     * Handles the answer of a sidecar to an inquiry about in-doubt jobs; other answers are ignored.
     * Once no answer is awaited any more, each job asked about is admitted, ended or kept in doubt.
     */
    void onAnswer(
            OwnedPartition partition,
            SidecarView sidecar,
            InquiryAnswer answer,
            BiConsumer<OwnedPartition, Job> admit) {
        OpenInquiry open = mOpenInquiries.get(answer.number());
        if (open == null) {
            return;
        }
        for (TaskResult known : answer.known()) {
            applyResult(partition, sidecar, open.mJobs.get(known.task().id()), known);
        }
        open.mAwaited.remove(sidecar.node());
        open.mAnswered.add(sidecar.node());
        finishIfAllAnswered(partition, answer.number(), open, admit);
    }

    /** Drops the inquiries about in-doubt jobs of a partition that this entry no longer owns. */
    void onOwnershipEnded(OwnedPartition partition) {
        mNextInquiry.remove(partition);
        mUnresolvedJobs.remove(partition);
        mOpenInquiries.values().removeIf(open -> open.mPartition == partition);
    }

    /** Stops waiting for the answers of a disconnected sidecar, which counts as unreachable. */
    void onSidecarLost(
            OwnedPartition partition, NodeId sidecar, BiConsumer<OwnedPartition, Job> admit) {
        for (Map.Entry<Long, OpenInquiry> entry : List.copyOf(mOpenInquiries.entrySet())) {
            OpenInquiry open = entry.getValue();
            if (open.mAwaited.remove(sidecar)) {
                finishIfAllAnswered(partition, entry.getKey(), open, admit);
            }
        }
    }

    private void sendInquiry(
            OwnedPartition partition,
            Map<SubmissionId, Job> jobs,
            BiConsumer<OwnedPartition, Job> admit) {
        OpenInquiry open = new OpenInquiry(partition);
        open.mJobs.putAll(jobs);
        mLastInquiryNumber++;
        mOpenInquiries.put(mLastInquiryNumber, open);
        List<SubmissionId> ids = List.copyOf(jobs.keySet());
        for (RosterMember member : partition.record().roster()) {
            if (reachable(member.sidecar())) {
                open.mAwaited.add(member.sidecar());
                mState.mOutbox.sendToSidecar(
                        member.sidecar(),
                        new Inquiry(partition.mIndex, partition.mEpoch, mLastInquiryNumber, ids));
            }
        }
        finishIfAllAnswered(partition, mLastInquiryNumber, open, admit);
    }

    private void finishIfAllAnswered(
            OwnedPartition partition,
            long number,
            OpenInquiry open,
            BiConsumer<OwnedPartition, Job> admit) {
        if (!open.mAwaited.isEmpty()) {
            return;
        }
        mOpenInquiries.remove(number);
        for (Job job : open.mJobs.values()) {
            if (!job.ended()) {
                resolve(partition, job, open.mAnswered, admit);
            }
        }
    }

    /**
     * Decides on a job once all reachable sidecars have answered. A job all of whose tasks have
     * completed ends with their answers. If an unreachable sidecar may have started a task about
     * which nothing is known, a job that is not retriable waits for that sidecar until the in-doubt
     * timeout or its deadline, and then fails with TARGET_LOST. Any other job is admitted.
     */
    private void resolve(
            OwnedPartition partition,
            Job job,
            Set<NodeId> answered,
            BiConsumer<OwnedPartition, Job> admit) {
        boolean stillInDoubt =
                !job.allStarted() && mayHaveStartedOnUnanswered(partition, job, answered);
        if (stillInDoubt && job.retriable()) {
            job.assumeStarted();
        } else if (stillInDoubt && mayStillResolve(partition, job)) {
            mUnresolvedJobs.computeIfAbsent(partition, key -> new ArrayList<>()).add(job);
            return;
        } else if (stillInDoubt) {
            String detail = "A sidecar that may have started it is out of reach.";
            mEnder.fail(partition, job, ErrorCode.TARGET_LOST, detail);
            return;
        }
        if (job.completedCount() == job.taskCount()) {
            mEnder.end(partition, job, job.completeAnswer());
            return;
        }
        admit.accept(partition, job);
    }

    /** Returns whether a roster member that has not answered may have started tasks of the job. */
    private static boolean mayHaveStartedOnUnanswered(
            OwnedPartition partition, Job job, Set<NodeId> answered) {
        long createdAt = job.mRequest.id().unixMillis();
        return partition.record().roster().stream()
                .map(RosterMember::sidecar)
                .filter(sidecar -> !answered.contains(sidecar))
                .anyMatch(sidecar ->
                        createdAt
                                <= partition.mUnsealedIdBounds.getOrDefault(
                                        sidecar, partition.mInDoubtIdBound));
    }

    /** Returns whether neither the in-doubt timeout nor the deadline of the job has passed. */
    private boolean mayStillResolve(OwnedPartition partition, Job job) {
        long timeoutAt = partition.mActiveSince + Timing.IN_DOUBT_TIMEOUT_MILLIS;
        return mState.mNow < Math.min(timeoutAt, job.deadline());
    }

    /**
     * Asks again about the jobs that are still in doubt once all eligible sidecars are reachable or
     * the in-doubt timeout has passed.
     */
    private void retryUnresolved(OwnedPartition partition) {
        List<Job> jobs = mUnresolvedJobs.getOrDefault(partition, List.of());
        boolean allReachable = partition.eligibleSidecars().stream().allMatch(this::reachable);
        long timeoutAt = partition.mActiveSince + Timing.IN_DOUBT_TIMEOUT_MILLIS;
        if (jobs.isEmpty() || !allReachable && mState.mNow < timeoutAt) {
            return;
        }
        mUnresolvedJobs.remove(partition);
        jobs.stream().filter(job -> !job.ended()).forEach(job -> addToNextInquiry(partition, job));
    }

    /** Returns whether the sidecar is connected and has confirmed a seal. */
    private boolean reachable(NodeId sidecar) {
        return mState.sidecar(sidecar)
                .filter(view -> view.mConnected && view.mSealedEpoch > 0)
                .isPresent();
    }

    /** Applies to a job what a sidecar knows of one of its tasks. */
    private void applyResult(
            OwnedPartition partition, SidecarView sidecar, Job job, TaskResult known) {
        if (job == null || job.ended()) {
            return;
        }
        int index = known.task().index();
        switch (known.state()) {
            case COMPLETED -> job.markCompleted(index, known.body());
            case RUNNING -> {
                job.markStarted(index);
                long expected = job.expectedMillis(index);
                sidecar.add(new RunningTask(known.task(), job, expected, job.mKind.demand()));
            }
            case FAILED -> {
                job.markFailed(index);
                mEnder.fail(partition, job, ErrorCode.TASK_FAILED, known.body());
            }
            case FORGOTTEN ->
                    mEnder.fail(partition, job, ErrorCode.ANSWER_EXPIRED, sidecar.mHello.target());
            case NOT_RUN -> mState.count(EntryCounter.TASKS_REFUSED);
        }
    }

    /**
     * Returns the results that an inquiry about running tasks has brought, and forgets the inquiry.
     * A task that is not on record at the sidecar counts as refused: its start was not received.
     *
     * @return one result per task asked about, or an empty list if the inquiry was about in-doubt
     *     jobs, or was sent on an earlier connection
     */
    static List<TaskResult> resultsOfRunning(SidecarView sidecar, InquiryAnswer answer) {
        Optional<RunningInquiry> inquiry =
                sidecar.mRunningInquiry.filter(open -> open.number() == answer.number());
        if (inquiry.isEmpty()) {
            return List.of();
        }
        sidecar.mRunningInquiry = Optional.empty();
        Map<TaskKey, TaskResult> results = new LinkedHashMap<>();
        inquiry.get()
                .tasks()
                .forEach(key ->
                        results.put(key, TaskResult.refused(key, TaskResult.Refusal.NOT_RECEIVED)));
        answer.known().forEach(known -> results.computeIfPresent(known.task(), (k, r) -> known));
        return List.copyOf(results.values());
    }
}
