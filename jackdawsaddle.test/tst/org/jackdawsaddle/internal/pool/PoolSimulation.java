package org.jackdawsaddle.internal.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.standin.platform.WorkerModel;

/**
 * Runs real entry and sidecar cores with models of workers, links and callers in simulated time,
 * optionally with random faults. After each event it checks that no task has two active runs and
 * that no start has overloaded a worker.
 */
final class PoolSimulation {
    static final long START_MILLIS = 1_800_000_000_000L;
    static final long ORDER_TIMEOUT_MILLIS = 300;
    static final long RESEND_MILLIS = 1_300;
    static final long CALLER_TIMEOUT_MILLIS = 3_000;
    static final long RECONNECT_INTERVAL_MILLIS = 100;
    static final long RESTART_DELAY_MILLIS = 1_500;
    private static final long MIN_REFUSAL_MILLIS = 100;
    private static final int REFUSAL_RANGE_MILLIS = 500;

    /** Work at a simulated time; {@code number} orders the events of the same time. */
    private record ScheduledEvent(long at, long number, Runnable work) {}

    final PoolShape mShape;
    final Random mRandom;
    private final PriorityQueue<ScheduledEvent> mSchedule =
            new PriorityQueue<>(
                    Comparator.comparingLong(ScheduledEvent::at)
                            .thenComparingLong(ScheduledEvent::number));
    final List<SimulatedEntry> mEntries = new ArrayList<>();
    final List<SimulatedSidecar> mSidecars = new ArrayList<>();

    /** By the indexes of the entry and the sidecar. */
    final SimulatedLink[][] mLinksToSidecar;

    /** By the indexes of the entry and the sidecar. */
    final SimulatedLink[][] mLinksToEntry;

    long mNow = START_MILLIS;

    /** The latest number given to an event, a connection or a call. */
    long mLastNumber;

    /** How long a process takes for each event, in milliseconds; 0 for no time at all. */
    double mEventCostMillis;

    /** The share of orders that arrive seconds late. */
    double mLateOrderProbability;

    /** Whether the lease that a late order grants counts from its arrival. */
    boolean mLateOrdersGrantAnew;

    /** How much longer than the shortest the longest task takes at speed 1, in milliseconds. */
    int mTaskRangeMillis = 800;

    int mSucceededJobCount;
    int mFailedJobCount;

    final DeadlyTasks mDeadlyTasks = new DeadlyTasks();

    /** Number of messages between entries and sidecars, by type. */
    final Map<String, Long> mMessageCounts = new TreeMap<>();

    /** Number of messages that entries have sent each other, without the answers. */
    long mPeerMessageCount;

    private int mJobCount;
    private final List<String> mHistory = new ArrayList<>();

    PoolSimulation(long seed, PoolShape shape) {
        mRandom = new Random(seed);
        mShape = shape;
        int entries = shape.entries();
        int sidecars = shape.sidecars();
        mLinksToSidecar = new SimulatedLink[entries][sidecars];
        mLinksToEntry = new SimulatedLink[entries][sidecars];
        for (int entry = 0; entry < entries; entry++) {
            mEntries.add(new SimulatedEntry(this, entry));
            for (int sidecar = 0; sidecar < sidecars; sidecar++) {
                mLinksToSidecar[entry][sidecar] = new SimulatedLink(this);
                mLinksToEntry[entry][sidecar] = new SimulatedLink(this);
            }
        }
        for (int sidecar = 0; sidecar < sidecars; sidecar++) {
            mSidecars.add(new SimulatedSidecar(this, sidecar));
        }
        mEntries.forEach(SimulatedEntry::start);
        mSidecars.forEach(SimulatedSidecar::start);
    }

    int jobCount() {
        return mJobCount;
    }

    int succeededJobCount() {
        return mSucceededJobCount;
    }

    /** Advances the simulated time while jobs arrive; injects faults if requested. */
    void run(long millis, boolean faults) {
        long end = mNow + millis;
        at(mNow + 500, () -> submitJobs(end));
        if (faults) {
            at(mNow + 1_000, () -> injectFault(end));
        }
        runUntil(end, this::checkInvariants);
    }

    /** Advances the simulated time to the given one, and runs a check after each event. */
    void runUntil(long end, Runnable check) {
        while (!mSchedule.isEmpty() && mSchedule.peek().at() <= end) {
            ScheduledEvent next = mSchedule.poll();
            mNow = Math.max(mNow, next.at());
            next.work().run();
            check.run();
        }
        mNow = end;
    }

    void countMessage(PoolMessage message) {
        mMessageCounts.merge(message.getClass().getSimpleName(), 1L, Long::sum);
    }

    private void submitJobs(long end) {
        if (mNow < end) {
            mJobCount++;
            new SimulatedCaller(this, String.format("%016x", mJobCount), 1 + mRandom.nextInt(3))
                    .send();
            after(1 + mRandom.nextInt(120), () -> submitJobs(end));
        }
    }

    private void injectFault(long end) {
        if (mNow >= end) {
            return;
        }
        SimulatedEntry entry = mEntries.get(mRandom.nextInt(mEntries.size()));
        SimulatedSidecar sidecar = mSidecars.get(mRandom.nextInt(mSidecars.size()));
        long durationMillis = 100 + mRandom.nextInt(4_000);
        int kind = mRandom.nextInt(9);
        log(
                "fault of kind "
                        + kind
                        + " at entry "
                        + entry.mIndex
                        + " and/or sidecar "
                        + sidecar.mIndex
                        + ", duration in ms "
                        + durationMillis);
        switch (kind) {
            case 0 -> entry.kill();
            case 1 -> sidecar.kill();
            case 2 -> entry.freeze(durationMillis);
            case 3 -> sidecar.freeze(durationMillis);
            case 4 -> partition(mLinksToSidecar[entry.mIndex][sidecar.mIndex], durationMillis);
            case 5 -> partition(mLinksToEntry[entry.mIndex][sidecar.mIndex], durationMillis);
            case 6 -> {
                mLateOrderProbability = 0.1;
                mLateOrdersGrantAnew = durationMillis % 2 == 0;
                after(durationMillis, () -> mLateOrderProbability = 0);
            }
            case 7 -> {
                sidecar.mWorker = new WorkerModel(mShape.coresPerWorker(), 1.0, mNow);
                sidecar.mAnnouncementSequence = 0;
            }
            case 8 ->
                    sidecar.mRefusesUntil =
                            mNow + MIN_REFUSAL_MILLIS + mRandom.nextInt(REFUSAL_RANGE_MILLIS);
            default -> throw new IllegalStateException();
        }
        after(mRandom.nextInt(2_000), () -> injectFault(end));
    }

    void partition(SimulatedLink link, long durationMillis) {
        link.mPartitioned = true;
        after(durationMillis, link::restore);
    }

    /** Fails if a worker is overloaded or a task has two active runs. */
    void checkInvariants() {
        Set<String> running = new HashSet<>();
        for (SimulatedSidecar sidecar : mSidecars) {
            sidecar.mWorker.advance(mNow);
            if (sidecar.mWorker.startsOverCapacity() > 0) {
                throw new AssertionError(
                        "Worker "
                                + sidecar.mIndex
                                + " is overloaded at millisecond "
                                + elapsedMillis());
            }
            for (String task : sidecar.mWorker.runningTasks()) {
                if (!running.add(task)) {
                    throw new AssertionError(
                            "Task "
                                    + task
                                    + " has two active runs at millisecond "
                                    + elapsedMillis()
                                    + history(task.substring(0, 16)));
                }
            }
        }
    }

    void log(String text) {
        mHistory.add(elapsedMillis() + " " + text);
    }

    /** Returns the log lines about faults and about a job, oldest first. */
    String history(String job) {
        return mHistory.stream()
                .filter(line -> line.contains("fault") || line.contains(job))
                .reduce("", (all, line) -> all + "\n  " + line);
    }

    /** Returns the simulated time since the start, in milliseconds. */
    private long elapsedMillis() {
        return mNow - START_MILLIS;
    }

    void after(long millis, Runnable work) {
        at(mNow + millis, work);
    }

    void at(long when, Runnable work) {
        mSchedule.add(new ScheduledEvent(when, ++mLastNumber, work));
    }

    /**
     * Executes an order after 1 ms, or sometimes after 2 s to 12 s, which is past its timeout.
     *
     * @param order takes by how much the lease that it grants ends later, in milliseconds
     * @param unanswered runs 250 ms after the order timeout, also if the order was answered
     */
    void execute(LongConsumer order, Runnable unanswered) {
        boolean late = mLateOrderProbability > 0 && mRandom.nextDouble() < mLateOrderProbability;
        long delayMillis = late ? 2_000 + mRandom.nextInt(10_000) : 1;
        long leaseShiftMillis = late && mLateOrdersGrantAnew ? delayMillis : 0;
        after(delayMillis, () -> order.accept(leaseShiftMillis));
        after(ORDER_TIMEOUT_MILLIS + 250, unanswered);
    }
}
