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
 * Computes what the ideal and the simple policies would do with a workload. Nothing costs time but
 * the tasks themselves, which favours these policies over the measured product.
 */
public final class PolicyModel {
    private static final double PUSH_MESSAGES = 2;
    private static final double PROBED_MESSAGES = 6;
    private static final int PROBES = 2;

    private static final class Target {
        final double mSpeed;
        final Deque<JobState> mQueue = new ArrayDeque<>();
        int mFree;

        Target(double speed, int slots) {
            mSpeed = speed;
            mFree = slots;
        }

        int backlog() {
            return mQueue.size() - mFree;
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

    private record End(double at, Target target, JobState job) {}

    private final Policy mPolicy;
    private final WorkloadTrace mTrace;
    private final double mWarmUpMillis;
    private final Random mRandom;
    private final int mEntries;
    private final int[] mNext;
    private final List<Target> mTargets = new ArrayList<>();
    private final PriorityQueue<End> mEnds =
            new PriorityQueue<>(Comparator.comparingDouble(End::at));
    private final Deque<JobState> mGlobal = new ArrayDeque<>();
    private final Responses mResponses = new Responses();
    private double mMessages;
    private int mArrivals;

    /**
     * Creates a model.
     *
     * @param warmUpMillis jobs that arrive before are not counted
     */
    public PolicyModel(
            Policy policy, WorkloadTrace trace, FleetSpec fleet, double warmUpMillis, long seed) {
        mPolicy = policy;
        mTrace = trace;
        mWarmUpMillis = warmUpMillis;
        mRandom = new Random(seed);
        mEntries = fleet.entries();
        mNext = new int[fleet.entries()];
        fleet.targets().forEach(spec -> mTargets.add(new Target(spec.speed(), spec.slots())));
    }

    /** Computes the result. */
    public PolicyResult run() {
        for (TraceJob job : mTrace.jobs()) {
            endUntil(job.arrivalMillis());
            arrive(new JobState(job), job.arrivalMillis());
        }
        endUntil(Double.MAX_VALUE);
        return new PolicyResult(
                mPolicy, mResponses, mMessages / mTrace.tasks(), Map.of(), 0, 0, 0, 0, 0);
    }

    private void endUntil(double time) {
        while (!mEnds.isEmpty() && mEnds.peek().at() <= time) {
            End end = mEnds.poll();
            end.target().mFree++;
            end.job().mUnfinished--;
            if (end.job().mUnfinished == 0) {
                answer(end.job(), end.at());
            }
            refill(end.target(), end.at());
        }
    }

    private void answer(JobState job, double at) {
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
                mGlobal.add(job);
                serveGlobal(now);
            }
            case BATCH_SAMPLING -> {
                for (int probe = 0; probe < PROBES * tasks; probe++) {
                    mMessages++;
                    enqueue(random(), job, now);
                }
            }
            default -> {
                for (int task = 0; task < tasks; task++) {
                    enqueue(choose(entry), job, now);
                }
            }
        }
    }

    private Target choose(int entry) {
        return switch (mPolicy) {
            case ROUND_ROBIN -> {
                mMessages += PUSH_MESSAGES;
                mNext[entry] = (mNext[entry] + 1) % mTargets.size();
                yield mTargets.get(mNext[entry]);
            }
            case TWO_CHOICES -> {
                mMessages += PROBED_MESSAGES;
                Target one = random();
                Target other = random();
                yield one.backlog() <= other.backlog() ? one : other;
            }
            default -> {
                mMessages += PUSH_MESSAGES;
                yield random();
            }
        };
    }

    private Target random() {
        return mTargets.get(mRandom.nextInt(mTargets.size()));
    }

    private void enqueue(Target target, JobState job, double now) {
        target.mQueue.add(job);
        refill(target, now);
    }

    private void refill(Target target, double now) {
        if (mPolicy == Policy.IDEAL) {
            serveGlobal(now);
            return;
        }
        while (target.mFree > 0 && !target.mQueue.isEmpty()) {
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

    private void serveGlobal(double now) {
        while (!mGlobal.isEmpty()) {
            Target fastest = null;
            for (Target target : mTargets) {
                if (target.mFree > 0 && (fastest == null || target.mSpeed > fastest.mSpeed)) {
                    fastest = target;
                }
            }
            if (fastest == null) {
                return;
            }
            JobState job = mGlobal.element();
            start(fastest, job, now);
            if (job.mWaiting.isEmpty()) {
                mGlobal.remove();
            }
        }
    }

    private void start(Target target, JobState job, double now) {
        TraceTask task = job.mWaiting.remove();
        target.mFree--;
        mEnds.add(new End(now + task.workMillis() / target.mSpeed, target, job));
    }
}
