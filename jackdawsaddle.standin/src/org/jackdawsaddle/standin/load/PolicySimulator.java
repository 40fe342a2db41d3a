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
 * Discrete-event simulation of the ideal and the simple policies on a workload. Only the tasks take
 * time, which favours these policies over the measured product.
 */
public final class PolicySimulator {
    private static final double MESSAGES_PER_PUSH = 2;
    private static final double MESSAGES_PER_PROBED_TASK = 6;
    private static final int PROBES_PER_TASK = 2;

    private static final class Target {
        final double mSpeed;
        final Deque<JobState> mQueue = new ArrayDeque<>();
        int mFreeSlots;

        Target(double speed, int slots) {
            mSpeed = speed;
            mFreeSlots = slots;
        }

        int backlog() {
            return mQueue.size() - mFreeSlots;
        }
    }

    private static final class JobState {
        final TraceJob mJob;
        final Deque<TraceTask> mWaiting;
        int mUnfinished;

        JobState(TraceJob job) {
            mJob = job;
            mWaiting = new ArrayDeque<>(job.tasks());
            mUnfinished = job.tasks().size();
        }
    }

    private record Completion(double at, Target target, JobState job) {}

    private final Policy mPolicy;
    private final WorkloadTrace mTrace;
    private final double mWarmUpMillis;
    private final Random mRandom;
    private final int mEntries;
    private final int[] mNextTarget;
    private final List<Target> mTargets = new ArrayList<>();
    private final PriorityQueue<Completion> mCompletions =
            new PriorityQueue<>(Comparator.comparingDouble(Completion::at));
    private final Deque<JobState> mGlobalQueue = new ArrayDeque<>();
    private final ResponseTimes mResponses = new ResponseTimes();
    private double mMessages;
    private int mArrivals;

    /**
     * Creates a simulator.
     *
     * @param warmUpMillis jobs that arrive earlier are not measured
     */
    public PolicySimulator(
            Policy policy, WorkloadTrace trace, FleetSpec fleet, double warmUpMillis, long seed) {
        mPolicy = policy;
        mTrace = trace;
        mWarmUpMillis = warmUpMillis;
        mRandom = new Random(seed);
        mEntries = fleet.entries();
        mNextTarget = new int[fleet.entries()];
        fleet.targets().forEach(spec -> mTargets.add(new Target(spec.speed(), spec.slots())));
    }

    /** Simulates the workload; may be called once. */
    public PolicyResult run() {
        for (TraceJob job : mTrace.jobs()) {
            completeUntil(job.arrivalMillis());
            arrive(new JobState(job), job.arrivalMillis());
        }
        completeUntil(Double.MAX_VALUE);
        return new PolicyResult(
                mPolicy, mResponses, mMessages / mTrace.tasks(), Map.of(), 0, 0, 0, 0, 0);
    }

    private void completeUntil(double time) {
        while (!mCompletions.isEmpty() && mCompletions.peek().at() <= time) {
            Completion completion = mCompletions.poll();
            completion.target().mFreeSlots++;
            completion.job().mUnfinished--;
            if (completion.job().mUnfinished == 0) {
                recordResponse(completion.job(), completion.at());
            }
            startQueued(completion.target(), completion.at());
        }
    }

    private void recordResponse(JobState job, double at) {
        if (job.mJob.arrivalMillis() >= mWarmUpMillis) {
            mResponses.add(at - job.mJob.arrivalMillis());
        }
    }

    private void arrive(JobState job, double now) {
        int entry = mArrivals % mEntries;
        mArrivals++;
        int tasks = job.mJob.tasks().size();
        switch (mPolicy) {
            case IDEAL -> {
                mGlobalQueue.add(job);
                dispatchGlobalQueue(now);
            }
            case BATCH_SAMPLING -> {
                for (int probe = 0; probe < PROBES_PER_TASK * tasks; probe++) {
                    mMessages++;
                    enqueue(randomTarget(), job, now);
                }
            }
            default -> {
                for (int task = 0; task < tasks; task++) {
                    enqueue(chooseTarget(entry), job, now);
                }
            }
        }
    }

    private Target chooseTarget(int entry) {
        return switch (mPolicy) {
            case ROUND_ROBIN -> {
                mMessages += MESSAGES_PER_PUSH;
                mNextTarget[entry] = (mNextTarget[entry] + 1) % mTargets.size();
                yield mTargets.get(mNextTarget[entry]);
            }
            case TWO_CHOICES -> {
                mMessages += MESSAGES_PER_PROBED_TASK;
                Target one = randomTarget();
                Target other = randomTarget();
                yield one.backlog() <= other.backlog() ? one : other;
            }
            default -> {
                mMessages += MESSAGES_PER_PUSH;
                yield randomTarget();
            }
        };
    }

    private Target randomTarget() {
        return mTargets.get(mRandom.nextInt(mTargets.size()));
    }

    private void enqueue(Target target, JobState job, double now) {
        target.mQueue.add(job);
        startQueued(target, now);
    }

    private void startQueued(Target target, double now) {
        if (mPolicy == Policy.IDEAL) {
            dispatchGlobalQueue(now);
            return;
        }
        while (target.mFreeSlots > 0 && !target.mQueue.isEmpty()) {
            JobState job = target.mQueue.poll();
            if (mPolicy == Policy.BATCH_SAMPLING) {
                mMessages += 2;
            }
            if (!job.mWaiting.isEmpty()) {
                mMessages += mPolicy == Policy.BATCH_SAMPLING ? 1 : 0;
                start(target, job, now);
            }
        }
    }

    private void dispatchGlobalQueue(double now) {
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
            start(fastest, job, now);
            if (job.mWaiting.isEmpty()) {
                mGlobalQueue.remove();
            }
        }
    }

    private void start(Target target, JobState job, double now) {
        TraceTask task = job.mWaiting.remove();
        target.mFreeSlots--;
        mCompletions.add(new Completion(now + task.workMillis() / target.mSpeed, target, job));
    }
}
