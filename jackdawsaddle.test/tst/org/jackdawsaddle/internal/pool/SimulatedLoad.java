package org.jackdawsaddle.internal.pool;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jackdawsaddle.pool.PoolAnswer;
import org.jackdawsaddle.pool.PoolJob;

/**
 * Callers that submit jobs of several kinds to the entries of a {@link PoolSimulation} at random
 * times, each job once, and record what became of them.
 */
final class SimulatedLoad {
    /** What became of a job. */
    enum Outcome {
        /** Completed within its response time objective. */
        IN_TIME,
        /** Completed within three times its objective. */
        LATE,
        /** Completed later, which is of no use to the caller. */
        USELESS,
        REFUSED,
        FAILED,
        /** Without an answer when the caller stopped waiting, or told so by the entry. */
        ABANDONED
    }

    private static final int USEFUL_MULTIPLE = 3;

    /** How often the caller of a job that crashes workers sends it. */
    private static final int MAX_ATTEMPTS = 4;

    /** How the jobs are divided among the entries, in turn; callers stay with their entry. */
    private static final double[] ENTRY_WEIGHTS = {1.0, 1.5, 0.5, 1.2, 0.8};

    /** The outcomes of the jobs of one kind. */
    static final class Tally {
        private final Map<Outcome, Integer> mCounts = new EnumMap<>(Outcome.class);
        private final Map<Outcome, Double> mCoreMillis = new EnumMap<>(Outcome.class);
        private final List<Long> mRefusalMillis = new ArrayList<>();

        private void add(Outcome outcome, double coreMillis, long elapsedMillis) {
            mCounts.merge(outcome, 1, Integer::sum);
            mCoreMillis.merge(outcome, coreMillis, Double::sum);
            if (outcome == Outcome.REFUSED) {
                mRefusalMillis.add(elapsedMillis);
            }
        }

        int count(Outcome outcome) {
            return mCounts.getOrDefault(outcome, 0);
        }

        double coreMillis(Outcome outcome) {
            return mCoreMillis.getOrDefault(outcome, 0.0);
        }

        int total() {
            return mCounts.values().stream().mapToInt(Integer::intValue).sum();
        }

        /** Returns the share of the jobs with an outcome. */
        double share(Outcome outcome) {
            return (double) count(outcome) / Math.max(1, total());
        }

        @Override
        public String toString() {
            StringBuilder text = new StringBuilder();
            for (Outcome outcome : Outcome.values()) {
                text.append(String.format("%s %.3f  ", outcome, share(outcome)));
            }
            return text + "of " + total() + " jobs";
        }
    }

    private final PoolSimulation mSimulation;
    private final Map<String, Tally> mTallies = new TreeMap<>();
    private final List<Double> mCumulativeWeights = new ArrayList<>();
    private int mJobCount;
    private int mTaskCount;

    /** The share of the jobs of the kind {@link #mDeadlyKind} with a task that crashes workers. */
    double mDeadlyShare;

    String mDeadlyKind = "";

    /** Until when jobs with such a task are submitted, in milliseconds since the epoch. */
    long mDeadlyUntil;

    /** Multiplies the arrival rates of all kinds. */
    double mRateFactor = 1;

    SimulatedLoad(PoolSimulation simulation) {
        mSimulation = simulation;
        double sum = 0;
        for (int entry = 0; entry < simulation.mEntries.size(); entry++) {
            sum += ENTRY_WEIGHTS[entry % ENTRY_WEIGHTS.length];
            mCumulativeWeights.add(sum);
        }
    }

    /** Submits jobs of a kind from now on until the given time. */
    void submit(SimulatedJobKind kind, long end) {
        mTallies.putIfAbsent(kind.name(), new Tally());
        scheduleNext(kind, end, mSimulation.mNow);
    }

    /**
     * Schedules the next job of a kind.
     *
     * @param previous when the previous one was due, in milliseconds since the epoch; with its
     *     fraction, so that rates over 1,000 a second are kept
     */
    private void scheduleNext(SimulatedJobKind kind, long end, double previous) {
        double meanGap = 1_000 / (kind.jobsPerSecond() * mRateFactor);
        double at = previous - meanGap * StrictMath.log(1 - mSimulation.mRandom.nextDouble());
        if (at < end) {
            mSimulation.at(
                    (long) at,
                    () -> {
                        submitOne(kind);
                        scheduleNext(kind, end, at);
                    });
        }
    }

    private void submitOne(SimulatedJobKind kind) {
        mJobCount++;
        String id = String.format("%016x", mJobCount);
        long submittedAt = mSimulation.mNow;
        SimulatedJobKind.Drawn drawn = kind.draw(id, mSimulation.mRandom, submittedAt);
        mTaskCount += drawn.job().steps().get(0).tasks();
        if (kind.name().equals(mDeadlyKind)
                && submittedAt < mDeadlyUntil
                && mSimulation.mRandom.nextDouble() < mDeadlyShare) {
            submitDeadly(drawn.job(), MAX_ATTEMPTS);
            return;
        }
        boolean[] answered = {false};
        mSimulation.at(
                drawn.job().deadline() + 1,
                () -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        record(kind, drawn, submittedAt, Outcome.ABANDONED);
                    }
                });
        entry().submit(
                        drawn.job(),
                        answer -> {
                            if (!answered[0]) {
                                answered[0] = true;
                                record(
                                        kind,
                                        drawn,
                                        submittedAt,
                                        outcome(answer, drawn, submittedAt));
                            }
                        });
    }

    /**
     * Submits a job with a task that crashes workers, whose outcome is not recorded. Its caller
     * sends it again, to any entry, while it gets no answer or an abandoned one.
     */
    private void submitDeadly(PoolJob job, int attempts) {
        boolean[] answered = {false};
        PoolJob deadly =
                new PoolJob(
                        job.id(),
                        job.queue(),
                        job.payload() + DeadlyTasks.PAYLOAD_SUFFIX,
                        job.steps(),
                        mSimulation.mNow + SimulatedJobKind.PATIENCE_MILLIS);
        entry().submit(deadly, answer -> answered[0] = !(answer instanceof PoolAnswer.Abandoned));
        mSimulation.at(
                deadly.deadline() + PoolSimulation.RESEND_MILLIS,
                () -> {
                    if (!answered[0] && attempts > 1) {
                        submitDeadly(job, attempts - 1);
                    }
                });
    }

    private void record(
            SimulatedJobKind kind,
            SimulatedJobKind.Drawn drawn,
            long submittedAt,
            Outcome outcome) {
        mTallies.get(kind.name()).add(outcome, drawn.coreMillis(), mSimulation.mNow - submittedAt);
    }

    private Outcome outcome(PoolAnswer answer, SimulatedJobKind.Drawn drawn, long submittedAt) {
        long elapsed = mSimulation.mNow - submittedAt;
        return switch (answer) {
            case PoolAnswer.Succeeded succeeded -> {
                if (elapsed <= drawn.objectiveMillis()) {
                    yield Outcome.IN_TIME;
                }
                yield elapsed <= USEFUL_MULTIPLE * drawn.objectiveMillis()
                        ? Outcome.LATE
                        : Outcome.USELESS;
            }
            case PoolAnswer.Failed failed -> Outcome.FAILED;
            case PoolAnswer.Refused refused -> Outcome.REFUSED;
            case PoolAnswer.Abandoned abandoned -> Outcome.ABANDONED;
        };
    }

    private SimulatedEntry entry() {
        double sum = mCumulativeWeights.get(mCumulativeWeights.size() - 1);
        double draw = sum * mSimulation.mRandom.nextDouble();
        int index = 0;
        while (mCumulativeWeights.get(index) <= draw) {
            index++;
        }
        return mSimulation.mEntries.get(index);
    }

    /** Returns the outcomes by kind. */
    Map<String, Tally> tallies() {
        return mTallies;
    }

    /** Returns the share of the jobs of all kinds that were completed while that was of use. */
    double servedShare() {
        return share(Outcome.IN_TIME) + share(Outcome.LATE);
    }

    /** Returns the share of the jobs of all kinds with an outcome. */
    double share(Outcome outcome) {
        int count = mTallies.values().stream().mapToInt(tally -> tally.count(outcome)).sum();
        int total = mTallies.values().stream().mapToInt(Tally::total).sum();
        return (double) count / Math.max(1, total);
    }

    /** Returns the share of the work of all jobs that was completed while that was of use. */
    double servedWorkShare() {
        double served = 0;
        double total = 0;
        for (Tally tally : mTallies.values()) {
            served += tally.coreMillis(Outcome.IN_TIME) + tally.coreMillis(Outcome.LATE);
            for (Outcome outcome : Outcome.values()) {
                total += tally.coreMillis(outcome);
            }
        }
        return served / Math.max(1, total);
    }

    /** Returns how many of the jobs that were completed while that was of use were in time. */
    double inTimeShareOfServed() {
        return share(Outcome.IN_TIME) / servedShare();
    }

    /** Returns the median time from a job to its refusal, in milliseconds; 0 without refusals. */
    long medianRefusalMillis() {
        List<Long> times = new ArrayList<>();
        mTallies.values().forEach(tally -> times.addAll(tally.mRefusalMillis));
        times.sort(null);
        return times.isEmpty() ? 0 : times.get(times.size() / 2);
    }

    int taskCount() {
        return mTaskCount;
    }
}
