package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.config.ServiceObject;
import org.jackdawsaddle.errors.ErrorCode;
import org.jackdawsaddle.internal.target.SpeedModel;
import org.jackdawsaddle.job.JobAnswer;

/**
 * Admission control: refuses on arrival a job that no target can run, that exceeds a limit or the
 * bound of its queue, or that is not expected to meet its deadline, so that no job is queued only
 * to expire.
 */
final class Admission {
    /** How long after a takeover jobs are queued although no target of their service is serving. */
    private static final long TARGET_DISCOVERY_MILLIS = 3_000;

    private final EntryState mState;
    private final SpeedModel mSpeeds;

    Admission(EntryState state, SpeedModel speeds) {
        mState = state;
        mSpeeds = speeds;
    }

    /**
     * Returns the refusal of a job, or empty if it is admitted. The service of its kind must be
     * configured.
     */
    Optional<JobAnswer.NotRun> refusal(OwnedPartition partition, Job job) {
        ServiceObject service = mState.mHead.set().service(job.mKind.service()).orElseThrow();
        List<SidecarView> targets = targets(partition, service.name());
        if (targets.isEmpty()) {
            return refusalWithoutTargets(partition, service);
        }
        if (targets.stream().noneMatch(target -> target.everFits(job.mKind.demand()))) {
            return refuse(ErrorCode.NEVER_FITS, "job kind " + job.mKind.name());
        }
        int shares = Math.clamp(service.partitions(), 1, mState.mPartitionCount);
        Optional<String> exceeded =
                partition.mJobs.limits().exceeded(job, mState.mHead.set(), shares);
        if (exceeded.isPresent()) {
            return refuse(ErrorCode.LIMIT_EXCEEDED, exceeded.get());
        }
        JobQueue queue = partition.mJobs.queue(service.name());
        if (queue.taskCount() + job.taskCount() > service.queueTasks()) {
            return refuse(ErrorCode.OVERLOADED, "service " + service.name());
        }
        long expectedEnd = expectedEnd(job, queue, targets);
        if (expectedEnd > job.deadline()) {
            long late = expectedEnd - job.deadline();
            return refuse(ErrorCode.DEADLINE_UNREACHABLE, "by " + late + " ms");
        }
        return Optional.empty();
    }

    /**
     * Returns the expected end of the job if it is served after all queued tasks, in milliseconds
     * since the epoch. All run times, also those of queued tasks of other kinds, are scaled by the
     * learned bias of this job's kind.
     */
    private long expectedEnd(Job job, JobQueue queue, List<SidecarView> targets) {
        double capacity = 0;
        double free = 0;
        double fastest = 0;
        for (SidecarView target : targets) {
            capacity += target.speed() * target.slots();
            free += Math.max(0, target.freeSlots(mState.mNow));
            fastest = Math.max(fastest, target.speed());
        }
        long work = 0;
        long longest = 0;
        for (int index = 0; index < job.taskCount(); index++) {
            work += job.expectedMillis(index);
            longest = Math.max(longest, job.expectedMillis(index));
        }
        String kind = job.mKind.name();
        double wait = mSpeeds.expectedMillis(kind, queue.workMillis()) / capacity;
        double span = mSpeeds.expectedMillis(kind, work) / capacity;
        if (job.taskCount() <= free) {
            span = 0;
        }
        double lastTask = mSpeeds.expectedMillis(kind, longest) / fastest;
        return mState.mNow + (long) (wait + span + lastTask);
    }

    private List<SidecarView> targets(OwnedPartition partition, String service) {
        return mState.sidecarsOf(partition).stream()
                .filter(view -> view.mHello.service().equals(service))
                .filter(SidecarView::serving)
                .toList();
    }

    private Optional<JobAnswer.NotRun> refusalWithoutTargets(
            OwnedPartition partition, ServiceObject service) {
        if (mState.mNow < partition.mActiveSince + TARGET_DISCOVERY_MILLIS) {
            return Optional.empty();
        }
        return refuse(ErrorCode.NO_TARGET, "service " + service.name());
    }

    private static Optional<JobAnswer.NotRun> refuse(ErrorCode code, String detail) {
        return Optional.of(new JobAnswer.NotRun(code, detail));
    }
}
