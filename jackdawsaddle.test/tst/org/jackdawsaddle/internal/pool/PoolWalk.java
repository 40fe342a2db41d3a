package org.jackdawsaddle.internal.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.jackdawsaddle.pool.PoolConfiguration;
import org.jackdawsaddle.pool.PoolQueue;
import org.jackdawsaddle.standin.platform.WorkerModel;

/**
 * A random walk of the real decisions of entries and sidecars, with models of workers, links and
 * callers in simulated time. It watches what the workers run.
 */
final class PoolWalk {
    static final long START = 1_800_000_000_000L;
    static final long ORDER_PATIENCE_MILLIS = 300;
    static final long RESEND_MILLIS = 1_300;
    static final long CALLER_PATIENCE_MILLIS = 3_000;
    static final long RECONNECT_MILLIS = 100;
    static final long RESTART_MILLIS = 1_500;
    static final double CORES = 16;

    private record Timed(long at, long number, Runnable work) {}

    static final PoolConfiguration CONFIGURATION =
            new PoolConfiguration(
                    1, List.of(new PoolQueue("checks", "h", "/c/", "ledger", 0, 3, 1.6, 60, 0)));

    final Random mRandom;
    private final PriorityQueue<Timed> mAgenda =
            new PriorityQueue<>(
                    Comparator.comparingLong(Timed::at).thenComparingLong(Timed::number));
    final List<WalkedEntry> mEntries = new ArrayList<>();
    final List<WalkedSidecar> mSidecars = new ArrayList<>();
    final WalkedLink[][] mToSidecar;
    final WalkedLink[][] mToEntry;
    long mNow = START;
    long mNumber;
    double mLateShare;
    int mSucceeded;
    private int mJobs;
    private final List<String> mNotes = new ArrayList<>();

    PoolWalk(long seed, int entries, int sidecars) {
        mRandom = new Random(seed);
        mToSidecar = new WalkedLink[entries][sidecars];
        mToEntry = new WalkedLink[entries][sidecars];
        for (int entry = 0; entry < entries; entry++) {
            mEntries.add(new WalkedEntry(this, entry));
            for (int sidecar = 0; sidecar < sidecars; sidecar++) {
                mToSidecar[entry][sidecar] = new WalkedLink(this);
                mToEntry[entry][sidecar] = new WalkedLink(this);
            }
        }
        for (int sidecar = 0; sidecar < sidecars; sidecar++) {
            mSidecars.add(new WalkedSidecar(this, sidecar));
        }
        mEntries.forEach(WalkedEntry::start);
        mSidecars.forEach(WalkedSidecar::start);
    }

    int jobs() {
        return mJobs;
    }

    int succeeded() {
        return mSucceeded;
    }

    /** Lets time pass with jobs arriving and, if asked for, faults. */
    void run(long millis, boolean faults) {
        long end = mNow + millis;
        at(mNow + 500, () -> arrive(end));
        if (faults) {
            at(mNow + 1_000, () -> fault(end));
        }
        while (!mAgenda.isEmpty() && mAgenda.peek().at() <= end) {
            Timed next = mAgenda.poll();
            mNow = Math.max(mNow, next.at());
            next.work().run();
            check();
        }
    }

    private void arrive(long end) {
        if (mNow < end) {
            mJobs++;
            new WalkedCaller(this, String.format("%016x", mJobs), 1 + mRandom.nextInt(3)).send();
            after(1 + mRandom.nextInt(120), () -> arrive(end));
        }
    }

    private void fault(long end) {
        if (mNow >= end) {
            return;
        }
        WalkedEntry entry = mEntries.get(mRandom.nextInt(mEntries.size()));
        WalkedSidecar sidecar = mSidecars.get(mRandom.nextInt(mSidecars.size()));
        long span = 100 + mRandom.nextInt(4_000);
        int kind = mRandom.nextInt(8);
        note(
                "fault "
                        + kind
                        + " entry "
                        + entry.mIndex
                        + " sidecar "
                        + sidecar.mIndex
                        + " for "
                        + span);
        switch (kind) {
            case 0 -> entry.kill();
            case 1 -> sidecar.kill();
            case 2 -> entry.mFrozenUntil = mNow + span;
            case 3 -> sidecar.mFrozenUntil = mNow + span;
            case 4 -> cut(mToSidecar[entry.mIndex][sidecar.mIndex], span);
            case 5 -> cut(mToEntry[entry.mIndex][sidecar.mIndex], span);
            case 6 -> {
                mLateShare = 0.1;
                after(span, () -> mLateShare = 0);
            }
            case 7 -> {
                sidecar.mWorker = new WorkerModel(CORES, 1.0, mNow);
                sidecar.mSequence = 0;
            }
            default -> throw new IllegalStateException();
        }
        after(mRandom.nextInt(2_000), () -> fault(end));
    }

    private void cut(WalkedLink link, long span) {
        link.mCut = true;
        after(span, link::heal);
    }

    private void check() {
        Set<String> running = new HashSet<>();
        for (WalkedSidecar sidecar : mSidecars) {
            sidecar.mWorker.advance(mNow);
            if (sidecar.mWorker.usedCores() > sidecar.mWorker.cores()) {
                throw new AssertionError(
                        "Worker " + sidecar.mIndex + " is overloaded at " + time());
            }
            for (String task : sidecar.mWorker.runningTasks()) {
                if (!running.add(task)) {
                    throw new AssertionError(
                            "Task "
                                    + task
                                    + " runs twice at "
                                    + time()
                                    + story(task.substring(0, 16)));
                }
            }
        }
    }

    void note(String text) {
        mNotes.add(time() + " " + text);
    }

    /** Returns the faults and what concerned the job, oldest first. */
    String story(String job) {
        return mNotes.stream()
                .filter(note -> note.contains("fault") || note.contains(job))
                .reduce("", (all, note) -> all + "\n  " + note);
    }

    private long time() {
        return mNow - START;
    }

    void after(long millis, Runnable work) {
        at(mNow + millis, work);
    }

    void at(long when, Runnable work) {
        mAgenda.add(new Timed(when, ++mNumber, work));
    }
}
