package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.config.JobKind;
import org.jackdawsaddle.errors.ErrorCode;
import org.jackdawsaddle.internal.message.StartTask;
import org.jackdawsaddle.internal.message.TaskKey;
import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.JobRequest;
import org.jackdawsaddle.job.SubmissionId;

/** Admits jobs to the partitions that this entry owns and assigns their tasks to free slots. */
final class DispatchController {
    /** How many further jobs are considered after one for which no target is free. */
    private static final int LOOK_AHEAD_JOBS = 8;

    private final EntryState mState;
    private final AnswerSender mAnswerSender;
    private final Admission mAdmission;
    private final JobEnder mEnder;
    private final RecoveryController mRecovery;
    private final QueueOrder mOrder;

    DispatchController(
            EntryState state,
            AnswerSender answerSender,
            Admission admission,
            JobEnder ender,
            RecoveryController recovery,
            QueueOrder order) {
        mState = state;
        mAnswerSender = answerSender;
        mAdmission = admission;
        mEnder = ender;
        mRecovery = recovery;
        mOrder = order;
    }

    /**
     * Handles a submission to a partition that this entry owns; it is deferred until the partition
     * is active. It is idempotent: a known id starts nothing and gets the answer of the first
     * submission, or ID_REUSED if the requests differ.
     */
    void submit(OwnedPartition partition, JobRequest request, Waiter waiter) {
        if (!partition.active()) {
            partition.mDeferredSubmissions.add(new DeferredSubmission(request, waiter));
            return;
        }
        SubmissionId id = request.id();
        Optional<EndedJob> ended = partition.mJobs.endedJob(id);
        if (ended.isPresent()) {
            answerEnded(partition, request, waiter, ended.get());
            return;
        }
        Optional<Job> known = partition.mJobs.activeJob(id);
        if (known.isPresent()) {
            join(known.get(), request, waiter);
            return;
        }
        createJob(partition, request, waiter);
    }

    /**
     * Starts as many queued tasks as free slots allow, on the fastest targets first. Does nothing
     * while the partition is not active.
     */
    void dispatch(OwnedPartition partition) {
        if (!partition.active()) {
            return;
        }
        for (JobQueue queue : partition.mJobs.queues().values()) {
            if (queue.isEmpty()) {
                continue;
            }
            long horizon = partition.idHorizon(mState.mNow);
            while (startNext(partition, queue, horizon)) {
                mState.count(EntryCounter.TASKS_STARTED);
            }
        }
    }

    /**
     * Ends the jobs whose deadline has passed, forgets expired ids, sends the deferred refusals
     * that are due and starts queued tasks. Called for active partitions only.
     */
    void onTick(OwnedPartition partition) {
        for (Job job : partition.mJobs.pollExpired(mState.mNow)) {
            mEnder.expire(partition, job);
        }
        partition.mJobs.forgetExpired(mState.mNow);
        expireDeferredSubmissions(partition);
        mAnswerSender.sendDeferredRefusals(partition);
        dispatch(partition);
    }

    /** Handles the submissions that were deferred until the partition became active. */
    void processDeferredSubmissions(OwnedPartition partition) {
        List<DeferredSubmission> deferred = List.copyOf(partition.mDeferredSubmissions);
        partition.mDeferredSubmissions.clear();
        deferred.forEach(
                submission -> submit(partition, submission.request(), submission.waiter()));
        dispatch(partition);
    }

    /**
     * Cancels an active job. Does nothing if the id is unknown, its job has ended or its submission
     * is still deferred.
     */
    void cancel(OwnedPartition partition, SubmissionId id) {
        partition.mJobs.activeJob(id).ifPresent(job -> mEnder.cancel(partition, job));
    }

    private void answerEnded(
            OwnedPartition partition, JobRequest request, Waiter waiter, EndedJob ended) {
        mState.count(EntryCounter.RESUBMISSIONS);
        if (ended.fingerprint() != request.fingerprint()) {
            mAnswerSender.send(waiter, idReused(request));
        } else if (ended.answer() instanceof JobAnswer.NotRun notRun) {
            mAnswerSender.sendRefusal(partition, request, waiter, notRun);
        } else {
            mAnswerSender.send(waiter, ended.answer());
        }
    }

    /** Adds a waiter to the active job with the same id, unless the requests differ. */
    private void join(Job job, JobRequest request, Waiter waiter) {
        mState.count(EntryCounter.RESUBMISSIONS);
        if (job.mRequest.fingerprint() != request.fingerprint()) {
            mAnswerSender.send(waiter, idReused(request));
        } else {
            job.mWaiters.add(waiter);
        }
    }

    private void createJob(OwnedPartition partition, JobRequest request, Waiter waiter) {
        Optional<JobAnswer> timestampError = checkIdTimestamp(request);
        if (timestampError.isPresent()) {
            mAnswerSender.send(waiter, timestampError.get());
            return;
        }
        Optional<JobKind> kind = mState.mHead.set().jobKind(request.kind());
        if (kind.isEmpty()) {
            String detail = "kind: no job kind " + request.kind();
            mAnswerSender.send(waiter, new JobAnswer.NotRun(ErrorCode.REQUEST_INVALID, detail));
            return;
        }
        Job job = new Job(request, kind.get(), mState.mNow);
        job.mWaiters.add(waiter);
        if (request.id().unixMillis() <= partition.mInDoubtIdBound) {
            mRecovery.inquire(partition, job);
        } else {
            admit(partition, job);
        }
    }

    /**
     * Queues the tasks of a job that have not been started, or refuses the job. A job that may have
     * been started already is never refused.
     */
    void admit(OwnedPartition partition, Job job) {
        partition.mJobs.add(job);
        Optional<JobAnswer.NotRun> refusal =
                job.mayHaveStarted() ? Optional.empty() : mAdmission.refusal(partition, job);
        if (refusal.isPresent()) {
            mEnder.end(partition, job, refusal.get());
            return;
        }
        mState.count(EntryCounter.JOBS_ADMITTED);
        job.mAdmitted = true;
        partition.mJobs.limits().acquire(job);
        job.mSortKey = mOrder.sortKey(job);
        partition.mJobs.queue(job.mKind.service()).add(job);
        dispatch(partition);
    }

    /** Returns the answer to a request whose id is expired or from the future, else empty. */
    private Optional<JobAnswer> checkIdTimestamp(JobRequest request) {
        long createdAt = request.id().unixMillis();
        if (createdAt > mState.mNow + Timing.MAX_ID_AHEAD_MILLIS) {
            String detail = "id " + request.id();
            return Optional.of(new JobAnswer.NotRun(ErrorCode.ID_FROM_FUTURE, detail));
        }
        if (createdAt < mState.mNow - Timing.ID_LIFETIME_MILLIS) {
            String detail = "id " + request.id();
            return Optional.of(new JobAnswer.Failed(ErrorCode.ID_EXPIRED, detail));
        }
        return Optional.empty();
    }

    /**
     * Starts the first queued task that fits a free target. A job whose id is beyond the horizon is
     * skipped, and so is one that demands at least as much as the latest job that fits no target.
     * The search ends {@link #LOOK_AHEAD_JOBS} jobs after the first one that fits no target, or at
     * a job without demand that fits none, since then no target takes any task. A job that must
     * avoid a sidecar on which a task of it has failed neither ends the search early nor causes
     * other jobs to be skipped.
     *
     * @param idHorizon the largest timestamp of an id whose tasks may be started, in milliseconds
     *     since the epoch
     * @return whether a task was started
     */
    private boolean startNext(OwnedPartition partition, JobQueue queue, long idHorizon) {
        int examined = 0;
        Optional<Demand> unplaceable = Optional.empty();
        for (Job job : queue.jobs()) {
            if (job.mRequest.id().unixMillis() > idHorizon
                    || unplaceable.isPresent() && unplaceable.get().fitsIn(job.mKind.demand())) {
                continue;
            }
            Optional<SidecarView> target = fastest(partition, job);
            if (target.isPresent()) {
                start(partition, queue, job, target.get());
                return true;
            }
            unplaceable =
                    job.mTriedSidecars.isEmpty() ? Optional.of(job.mKind.demand()) : unplaceable;
            examined++;
            if (examined > LOOK_AHEAD_JOBS || unplaceable.filter(Demand.NONE::equals).isPresent()) {
                return false;
            }
        }
        return false;
    }

    /**
     * Returns the fastest target that can start a task of the job now and on which no task of the
     * job has failed.
     */
    private Optional<SidecarView> fastest(OwnedPartition partition, Job job) {
        SidecarView best = null;
        for (SidecarView view : mState.sidecarsOf(partition)) {
            boolean usable =
                    view.mHello.service().equals(job.mKind.service())
                            && view.canStart(job.mKind.demand(), mState.mNow)
                            && partition.mayStartOn(view.node())
                            && !job.mTriedSidecars.contains(view.node());
            if (usable && (best == null || better(view, best))) {
                best = view;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns whether the first target is faster, or equally fast with more free slots. */
    private boolean better(SidecarView one, SidecarView other) {
        return one.speed() != other.speed()
                ? one.speed() > other.speed()
                : one.freeSlots(mState.mNow) > other.freeSlots(mState.mNow);
    }

    private void start(OwnedPartition partition, JobQueue queue, Job job, SidecarView target) {
        int index = queue.take(job);
        job.markStarted(index);
        TaskKey key = new TaskKey(job.mRequest.id(), index);
        long expected = job.expectedMillis(index);
        target.add(new RunningTask(key, job, expected, job.mKind.demand()));
        StartTask task =
                new StartTask(
                        key,
                        job.mKind.name(),
                        job.mRequest.tasks().get(index).payload(),
                        job.deadline() - mState.mNow,
                        job.mKind.demand());
        partition.recordStart(target.node(), job.mRequest.id().unixMillis());
        mState.mOutbox.start(target, partition, task);
    }

    /**
     * Fails the deferred submissions whose deadline has passed. An active partition has none, so
     * that they do not expire during a takeover.
     */
    private void expireDeferredSubmissions(OwnedPartition partition) {
        List<DeferredSubmission> expired =
                partition.mDeferredSubmissions.stream()
                        .filter(deferred -> deferred.request().deadline() <= mState.mNow)
                        .toList();
        partition.mDeferredSubmissions.removeAll(expired);
        for (DeferredSubmission deferred : expired) {
            String detail = "The partition is being taken over.";
            mAnswerSender.send(
                    deferred.waiter(),
                    new JobAnswer.Failed(ErrorCode.AUTHORITY_UNCONFIRMED, detail));
        }
    }

    private static JobAnswer idReused(JobRequest request) {
        return new JobAnswer.NotRun(ErrorCode.ID_REUSED, "id " + request.id());
    }
}
