package org.jackdawsaddle.standin.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jackdawsaddle.pool.RunSnapshot;
import org.jackdawsaddle.pool.TargetGateway.StartReply;

/**
 * Model of one incarnation of a worker, without sockets or clocks. It executes orders whose fencing
 * token is not lower than the highest one seen, ends each run after the time in its payload divided
 * by the speed, and cuts off all runs when its lease expires. It does not enforce its capacity, but
 * counts the starts that bring its runs over it.
 *
 * <p>A payload has the form "MILLIS CORES": the run time at speed 1 and the cores that the run
 * uses. The time {@code now} is in milliseconds since the epoch and must never go back; lease ends
 * are on the worker's monotonic clock, in milliseconds.
 */
public final class WorkerModel {
    /** The longest lease that a worker grants, in milliseconds. */
    public static final long LEASE_MILLIS = 1_000;

    /**
     * A shrunk capacity counts this much later, in milliseconds: the worker has announced it by
     * then.
     */
    public static final long SHRINK_GRACE_MILLIS = 1_100;

    /**
     * A run that has not ended.
     *
     * @param startedAt when it started, in milliseconds since the epoch
     * @param endsAt when it ends by itself, in milliseconds since the epoch
     */
    private record Running(String task, int run, double cores, long startedAt, long endsAt) {}

    /**
     * A capacity that has shrunk since.
     *
     * @param countsUntil until when it still counts, in milliseconds since the epoch
     */
    private record FormerCapacity(double cores, long countsUntil) {}

    private double mCores;
    private final List<FormerCapacity> mFormerCapacities = new ArrayList<>();
    private int mStartsOverCapacity;
    private double mSpeed;
    private final long mStartedAt;
    private final Map<String, Running> mRunning = new LinkedHashMap<>();

    /** By task, the highest run that was stopped or has ended; it and lower ones never start. */
    private final Map<String, Integer> mTombstones = new HashMap<>();

    private final Set<String> mStartedTasks = new HashSet<>();

    /** The ended runs that no acknowledgement cursor has reached yet, oldest first. */
    private final List<RunSnapshot.Ended> mUnacknowledgedEnds = new ArrayList<>();

    /** All runs that have ended. */
    private final List<RunInterval> mEndedIntervals = new ArrayList<>();

    private long mHighestFencingToken;
    private long mLeaseUntil;
    private long mEndCount;
    private boolean mFailing;
    private boolean mStalled;

    /**
     * Creates a worker that runs nothing.
     *
     * @param cores the cores that it announces at first
     * @param speed divides the run time in the payload; at 0.5 runs take twice as long
     * @param startedAt when this incarnation started, in milliseconds since the epoch; its
     *     monotonic clock starts at 0 then
     */
    public WorkerModel(double cores, double speed, long startedAt) {
        mCores = cores;
        mSpeed = speed;
        mStartedAt = startedAt;
    }

    /** Sets the speed of the runs that start from now on. */
    public void setSpeed(double speed) {
        mSpeed = speed;
    }

    /** Sets whether every run fails as soon as it starts. */
    public void setFailing(boolean failing) {
        mFailing = failing;
    }

    /** Sets whether runs that are due do not end; lease expiry and stops still end them. */
    public void setStalled(boolean stalled) {
        mStalled = stalled;
    }

    /** Returns the reading of the monotonic clock, in milliseconds. */
    public long clock(long now) {
        return now - mStartedAt;
    }

    /** Returns when this incarnation started, in milliseconds since the epoch. */
    public long startedAt() {
        return mStartedAt;
    }

    /** Returns the cores that all runs use together. */
    public double usedCores() {
        return mRunning.values().stream().mapToDouble(Running::cores).sum();
    }

    /** Returns the cores of the worker. */
    public double cores() {
        return mCores;
    }

    /** Changes the cores of the worker; what runs on it goes on. */
    public void setCores(double cores, long now) {
        if (cores < mCores) {
            mFormerCapacities.add(new FormerCapacity(mCores, now + SHRINK_GRACE_MILLIS));
        }
        mCores = cores;
    }

    /** Returns how many starts have brought the runs over the capacity that counted then. */
    public int startsOverCapacity() {
        return mStartsOverCapacity;
    }

    private double countedCores(long now) {
        mFormerCapacities.removeIf(former -> former.countsUntil() <= now);
        return mFormerCapacities.stream()
                .mapToDouble(FormerCapacity::cores)
                .reduce(mCores, Math::max);
    }

    /** Returns the tasks that are running. */
    public List<String> runningTasks() {
        return List.copyOf(mRunning.keySet());
    }

    /** Returns all tasks that were ever started. */
    public Set<String> startedTasks() {
        return Set.copyOf(mStartedTasks);
    }

    /** Returns when all runs so far were active, in no particular order. */
    public List<RunInterval> intervals() {
        List<RunInterval> intervals = new ArrayList<>(mEndedIntervals);
        mRunning.values().forEach(run -> intervals.add(interval(run, RunInterval.NOT_ENDED)));
        return intervals;
    }

    /** Loses all runs, as the worker's process has ended. */
    public void crash(long now) {
        advance(now);
        mRunning.values().forEach(run -> mEndedIntervals.add(interval(run, now)));
        mRunning.clear();
    }

    /** Advances to the given time: ends the runs that are due, or all if the lease has expired. */
    public void advance(long now) {
        if (!mRunning.isEmpty() && clock(now) >= mLeaseUntil) {
            long expiredAt = mStartedAt + mLeaseUntil;
            List.copyOf(mRunning.values())
                    .forEach(run -> end(run, RunSnapshot.Outcome.CUT_OFF, expiredAt));
        }
        if (!mStalled) {
            List.copyOf(mRunning.values()).stream()
                    .filter(run -> run.endsAt() <= now)
                    .forEach(run -> end(run, RunSnapshot.Outcome.DONE, run.endsAt()));
        }
    }

    /**
     * Executes an order to start a run.
     *
     * @param payload the run time and cores of the run, in the form described for the class
     * @param leaseUntil when the lease of all runs expires; limited to {@link #LEASE_MILLIS} from
     *     now, and never earlier than before
     * @param fencingToken fenced if lower than the highest one seen
     * @return STARTED also for a repeated order whose run has not ended; REFUSED if {@code
     *     leaseUntil} is not in the future
     */
    public StartReply start(
            String task, int run, String payload, long leaseUntil, long fencingToken, long now) {
        advance(now);
        if (fencingToken < mHighestFencingToken) {
            return StartReply.FENCED;
        }
        mHighestFencingToken = fencingToken;
        Running current = mRunning.get(task);
        if (current != null && current.run() == run) {
            return StartReply.STARTED;
        }
        if (mTombstones.getOrDefault(task, 0) >= run || current != null) {
            return StartReply.OUTDATED;
        }
        if (leaseUntil <= clock(now)) {
            return StartReply.REFUSED;
        }
        extendLease(leaseUntil, now);
        String[] fields = payload.split(" ");
        long millis = Math.round(Double.parseDouble(fields[0]) / mSpeed);
        Running started = new Running(task, run, Double.parseDouble(fields[1]), now, now + millis);
        mRunning.put(task, started);
        mStartedTasks.add(task);
        if (usedCores() > countedCores(now)) {
            mStartsOverCapacity++;
        }
        if (mFailing) {
            end(started, RunSnapshot.Outcome.FAILED, now);
        }
        return StartReply.STARTED;
    }

    /**
     * Executes an order to stop a run. Neither it nor a lower run of the task can start afterwards.
     *
     * @return false if a higher fencing token was seen before
     */
    public boolean stop(String task, int run, long fencingToken, long now) {
        advance(now);
        if (fencingToken < mHighestFencingToken) {
            return false;
        }
        mHighestFencingToken = fencingToken;
        mTombstones.merge(task, run, Math::max);
        Running current = mRunning.get(task);
        if (current != null && current.run() <= run) {
            end(current, RunSnapshot.Outcome.CUT_OFF, now);
        }
        return true;
    }

    /**
     * Extends the lease, forgets acknowledged ended runs and returns the others with the running
     * ones. With a fencing token lower than the highest one seen, it only returns the runs.
     *
     * @param leaseUntil when the lease of all runs expires; 0 to leave it unchanged
     * @param ackCursor the acknowledgement cursor: the number of the last ended run to forget
     */
    public RunSnapshot poll(long leaseUntil, long ackCursor, long fencingToken, long now) {
        advance(now);
        if (fencingToken >= mHighestFencingToken) {
            mHighestFencingToken = fencingToken;
            extendLease(leaseUntil, now);
            mUnacknowledgedEnds.removeIf(ended -> ended.number() <= ackCursor);
        }
        List<RunSnapshot.Running> running =
                mRunning.values().stream()
                        .map(run -> new RunSnapshot.Running(run.task(), run.run()))
                        .toList();
        return new RunSnapshot(mStartedAt, clock(now), running, mUnacknowledgedEnds);
    }

    private void extendLease(long leaseUntil, long now) {
        mLeaseUntil = Math.max(mLeaseUntil, Math.min(leaseUntil, clock(now) + LEASE_MILLIS));
    }

    private void end(Running run, RunSnapshot.Outcome outcome, long endedAt) {
        mRunning.remove(run.task());
        mEndedIntervals.add(interval(run, endedAt));
        mTombstones.merge(run.task(), run.run(), Math::max);
        mEndCount++;
        mUnacknowledgedEnds.add(new RunSnapshot.Ended(mEndCount, run.task(), run.run(), outcome));
    }

    private static RunInterval interval(Running run, long endedAt) {
        return new RunInterval(run.task(), run.run(), run.startedAt(), endedAt);
    }
}
