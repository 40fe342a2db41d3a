package org.jackdawsaddle.standin.load;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.jackdawsaddle.standin.fleet.FleetSpec;

/**
 * Discrete-event simulation of a policy other than {@link Policy#JACKDAWSADDLE} on a workload. Only
 * the tasks take time, which favours these policies over the measured product. Times are in
 * milliseconds from the start of the workload.
 */
public final class PolicySimulator {
    /** The task and its result. */
    private static final double MESSAGES_PER_PUSHED_TASK = 2;

    /** Two probes, their two answers, the task and its result. */
    private static final double MESSAGES_PER_PROBED_TASK = 6;

    private static final int RESERVATIONS_PER_TASK = 2;

    private static final class Target {
        final double mSpeed;
        final Deque<JobState> mQueue = new ArrayDeque<>();
        int mFreeSlots;

        Target(double speed, int slots) {
            mSpeed = speed;
            mFreeSlots = slots;
        }

        /** Returns the number of queued jobs minus the number of free slots. */
        int backlog() {
            return mQueue.size() - mFreeSlots;
        }
    }

    /** A job with its tasks that have not started and the number of those that have not ended. */
    private static final class JobState {
        final WorkloadJob mJob;
        final Deque<WorkloadTask> mUnstartedTasks;
        int mUnfinishedTasks;

        JobState(WorkloadJob job) {
            mJob = job;
            mUnstartedTasks = new ArrayDeque<>(job.tasks());
            mUnfinishedTasks = job.tasks().size();
        }
    }

    private record Completion(double atMillis, Target target, JobState job) {}

    private final Policy mPolicy;
    private final Workload mWorkload;
    private final double mWarmUpMillis;
    private final Random mRandom;
    private final int mEntryCount;

    /** By entry, the index of the target of its last task under ROUND_ROBIN; 0 before the first. */
    private final int[] mLastTarget;

    private final List<Target> mTargets = new ArrayList<>();
    private final PriorityQueue<Completion> mCompletions =
            new PriorityQueue<>(Comparator.comparingDouble(Completion::atMillis));
    private final Deque<JobState> mGlobalQueue = new ArrayDeque<>();
    private final ResponseTimes mResponses = new ResponseTimes();
    private double mMessageCount;
    private int mArrivedJobs;

    /**
     * Creates a simulator.
     *
     * @param warmUpMillis jobs that arrive earlier are not measured
     * @param seed the seed of the random choices of targets
     */
    public PolicySimulator(
            Policy policy, Workload workload, FleetSpec fleet, double warmUpMillis, long seed) {
        mPolicy = policy;
        mWorkload = workload;
        mWarmUpMillis = warmUpMillis;
        mRandom = new Random(seed);
        mEntryCount = fleet.entries();
        mLastTarget = new int[fleet.entries()];
        fleet.targets().forEach(spec -> mTargets.add(new Target(spec.speed(), spec.slots())));
    }

    /** Simulates the workload; call at most once. */
    public PolicyResult run() {
        for (WorkloadJob job : mWorkload.jobs()) {
            completeUntil(job.arrivalMillis());
            arrive(new JobState(job), job.arrivalMillis());
        }
        completeUntil(Double.MAX_VALUE);
        return new PolicyResult(
                mPolicy,
                mResponses,
                mMessageCount / mWorkload.taskCount(),
                Map.of(),
                0,
                0,
                0,
                0,
                0);
    }

    private void completeUntil(double untilMillis) {
        while (!mCompletions.isEmpty() && mCompletions.peek().atMillis() <= untilMillis) {
            Completion completion = mCompletions.poll();
            completion.target().mFreeSlots++;
            completion.job().mUnfinishedTasks--;
            if (completion.job().mUnfinishedTasks == 0) {
                recordResponse(completion.job(), completion.atMillis());
            }
            startQueued(completion.target(), completion.atMillis());
        }
    }

    private void recordResponse(JobState job, double atMillis) {
        if (job.mJob.arrivalMillis() >= mWarmUpMillis) {
            mResponses.add(atMillis - job.mJob.arrivalMillis());
        }
    }

    private void arrive(JobState job, double nowMillis) {
        int entry = mArrivedJobs % mEntryCount;
        mArrivedJobs++;
        int tasks = job.mJob.tasks().size();
        switch (mPolicy) {
            case IDEAL -> {
                mGlobalQueue.add(job);
                dispatchGlobalQueue(nowMillis);
            }
            case BATCH_SAMPLING -> {
                for (int reservation = 0;
                        reservation < RESERVATIONS_PER_TASK * tasks;
                        reservation++) {
                    mMessageCount++;
                    enqueue(randomTarget(), job, nowMillis);
                }
            }
            default -> {
                for (int task = 0; task < tasks; task++) {
                    enqueue(chooseTarget(entry), job, nowMillis);
                }
            }
        }
    }

    private Target chooseTarget(int entry) {
        return switch (mPolicy) {
            case ROUND_ROBIN -> {
                mMessageCount += MESSAGES_PER_PUSHED_TASK;
                mLastTarget[entry] = (mLastTarget[entry] + 1) % mTargets.size();
                yield mTargets.get(mLastTarget[entry]);
            }
            case TWO_CHOICES -> {
                mMessageCount += MESSAGES_PER_PROBED_TASK;
                Target one = randomTarget();
                Target other = randomTarget();
                yield one.backlog() <= other.backlog() ? one : other;
            }
            default -> {
                mMessageCount += MESSAGES_PER_PUSHED_TASK;
                yield randomTarget();
            }
        };
    }

    private Target randomTarget() {
        return mTargets.get(mRandom.nextInt(mTargets.size()));
    }

    private void enqueue(Target target, JobState job, double nowMillis) {
        target.mQueue.add(job);
        startQueued(target, nowMillis);
    }

    private void startQueued(Target target, double nowMillis) {
        if (mPolicy == Policy.IDEAL) {
            dispatchGlobalQueue(nowMillis);
            return;
        }
        while (target.mFreeSlots > 0 && !target.mQueue.isEmpty()) {
            JobState job = target.mQueue.poll();
            if (mPolicy == Policy.BATCH_SAMPLING) {
                // The target's request for a task, and the response.
                mMessageCount += 2;
            }
            if (!job.mUnstartedTasks.isEmpty()) {
                // The result of the task.
                mMessageCount += mPolicy == Policy.BATCH_SAMPLING ? 1 : 0;
                start(target, job, nowMillis);
            }
        }
    }

    private void dispatchGlobalQueue(double nowMillis) {
        while (!mGlobalQueue.isEmpty()) {
            Target fastest = null;
            for (Target target : mTargets) {
                if (target.mFreeSlots > 0 && (fastest == null || target.mSpeed > fastest.mSpeed)) {
                    fastest = target;
                }
            }
            if (fastest == null) {
                return;
            }
            JobState job = mGlobalQueue.element();
            start(fastest, job, nowMillis);
            if (job.mUnstartedTasks.isEmpty()) {
                mGlobalQueue.remove();
            }
        }
    }

    private void start(Target target, JobState job, double nowMillis) {
        WorkloadTask task = job.mUnstartedTasks.remove();
        target.mFreeSlots--;
        mCompletions.add(
                new Completion(nowMillis + task.workMillis() / target.mSpeed, target, job));
    }
}
