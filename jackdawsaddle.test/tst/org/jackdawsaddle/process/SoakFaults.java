package org.jackdawsaddle.process;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jackdawsaddle.standin.platform.KvStandIn;

/** Brings faults upon a fleet from outside, in series that overlap, as a seed has it. */
final class SoakFaults {
    private static final int MOST_PAUSE_MILLIS = 900;
    private static final int MOST_FAULT_MILLIS = 2_500;
    private static final int MOST_DELAY_MILLIS = 60;

    /** What can go wrong. */
    private enum Fault {
        ENTRY_KILLED,
        ENTRY_PAUSED,
        ENTRY_RESTARTED,
        ENTRY_SETTINGS,
        SIDECAR_KILLED,
        SIDECAR_PAUSED,
        SIDECAR_RESTARTED,
        STORE_BUSY,
        STORE_SILENT,
        STORE_CUT,
        STORE_FORGETS,
        WORKER_STANDS_STILL,
        WORKER_FAILS,
        WORKER_BORN_ANEW,
        WORKER_CUT,
        WORKER_SILENT,
        WORKER_ANSWERS_LATE,
        WORKER_SLOW_LINK,
        CONFIGURATION
    }

    private final SoakFleet mFleet;
    private final Random mRandom;
    private final List<Thread> mRunning = new CopyOnWriteArrayList<>();
    private final List<String> mNotes = new CopyOnWriteArrayList<>();

    SoakFaults(SoakFleet fleet, long seed) {
        mFleet = fleet;
        mRandom = new Random(seed);
    }

    /** Brings faults until the time is over, and waits until all have been taken back. */
    void run(long millis) {
        long end = mFleet.mClock.now() + millis;
        while (mFleet.mClock.now() < end) {
            Fault fault = Fault.values()[mRandom.nextInt(Fault.values().length)];
            int number = mRandom.nextInt(SoakFleet.ENTRIES * SoakFleet.WORKERS);
            long span = 1 + mRandom.nextInt(MOST_FAULT_MILLIS);
            mNotes.add(mFleet.mClock.now() + " " + fault + " " + number + " " + span + " ms");
            mRunning.add(Thread.ofVirtual().start(() -> bring(fault, number, span)));
            ProcessFleet.pause(mRandom.nextInt(MOST_PAUSE_MILLIS));
        }
        mRunning.forEach(SoakFaults::join);
    }

    List<String> notes() {
        return mNotes;
    }

    private void bring(Fault fault, int number, long span) {
        int entry = number % SoakFleet.ENTRIES;
        int worker = number % SoakFleet.WORKERS;
        switch (fault) {
            case ENTRY_KILLED, ENTRY_PAUSED, ENTRY_RESTARTED ->
                    harm(mFleet.mEntries.get(entry), fault, span);
            case SIDECAR_KILLED, SIDECAR_PAUSED, SIDECAR_RESTARTED ->
                    harm(mFleet.mSidecars.get(worker), fault, span);
            case ENTRY_SETTINGS -> changeSettings(entry, span);
            case STORE_BUSY -> storeFault(KvStandIn.Fault.BUSY, span);
            case STORE_SILENT -> storeFault(KvStandIn.Fault.SILENT, span);
            case STORE_FORGETS -> mFleet.mStore.forgetHistory();
            case STORE_CUT -> cut(mFleet.mStoreLink, span);
            case CONFIGURATION -> mFleet.publish();
            case WORKER_BORN_ANEW -> mFleet.mWorkers.get(worker).beginAnew();
            case WORKER_STANDS_STILL, WORKER_FAILS -> harmWorker(worker, fault, span);
            case WORKER_CUT -> cut(mFleet.mWorkerLinks.get(worker), span);
            case WORKER_SILENT, WORKER_ANSWERS_LATE, WORKER_SLOW_LINK ->
                    harmLink(mFleet.mWorkerLinks.get(worker), fault, span);
        }
    }

    /** One fault a process at a time: a second one would be taken back by the first. */
    private static void harm(ChildProcess process, Fault fault, long span) {
        synchronized (process) {
            switch (fault) {
                case ENTRY_PAUSED, SIDECAR_PAUSED -> {
                    process.freeze();
                    ProcessFleet.pause(span);
                    process.resume();
                }
                case ENTRY_KILLED, SIDECAR_KILLED -> {
                    process.kill();
                    ProcessFleet.pause(span);
                    process.start();
                }
                default -> {
                    process.terminate();
                    process.start();
                }
            }
        }
    }

    private void changeSettings(int entry, long span) {
        ChildProcess process = mFleet.mEntries.get(entry);
        synchronized (process) {
            mFleet.changeSettings(entry, false);
            process.hangUp();
            ProcessFleet.pause(span);
            mFleet.changeSettings(entry, true);
            process.hangUp();
        }
    }

    private void storeFault(KvStandIn.Fault fault, long span) {
        synchronized (mFleet.mStoreLink) {
            mFleet.mStore.fault(fault);
            ProcessFleet.pause(span);
            mFleet.mStore.fault(KvStandIn.Fault.NONE);
        }
    }

    private static void cut(LinkProxy link, long span) {
        synchronized (link) {
            link.cut(true);
            ProcessFleet.pause(span);
            link.cut(false);
        }
    }

    private void harmWorker(int worker, Fault fault, long span) {
        synchronized (mFleet.mWorkerLinks.get(worker)) {
            boolean fails = fault == Fault.WORKER_FAILS;
            set(worker, fails, true);
            ProcessFleet.pause(span);
            set(worker, fails, false);
        }
    }

    private void set(int worker, boolean fails, boolean on) {
        if (fails) {
            mFleet.mWorkers.get(worker).failing(on);
        } else {
            mFleet.mWorkers.get(worker).standStill(on);
        }
    }

    private static void harmLink(LinkProxy link, Fault fault, long span) {
        synchronized (link) {
            switch (fault) {
                case WORKER_SILENT -> link.hold(true, true);
                case WORKER_ANSWERS_LATE -> link.hold(false, true);
                default -> link.delay(Math.min(span, MOST_DELAY_MILLIS));
            }
            ProcessFleet.pause(span);
            link.hold(false, false);
            link.delay(0);
        }
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
