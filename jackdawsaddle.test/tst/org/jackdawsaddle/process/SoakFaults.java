package org.jackdawsaddle.process;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jackdawsaddle.standin.platform.KvStandIn;

/** Injects random, overlapping faults into a fleet; the seed determines their sequence. */
final class SoakFaults {
    private static final int MAX_PAUSE_MILLIS = 900;
    private static final int MAX_FAULT_MILLIS = 2_500;
    private static final int MAX_DELAY_MILLIS = 60;

    /** The kinds of faults, and of changes by an operator. */
    private enum Fault {
        ENTRY_KILLED,
        ENTRY_FROZEN,
        ENTRY_RESTARTED,
        ENTRY_SETTINGS_CHANGED,
        SIDECAR_KILLED,
        SIDECAR_FROZEN,
        SIDECAR_RESTARTED,
        STORE_REJECTING,
        STORE_UNRESPONSIVE,
        STORE_DISCONNECTED,
        STORE_HISTORY_COMPACTED,
        WORKER_STALLED,
        WORKER_FAILING,
        WORKER_RESTARTED,
        WORKER_DISCONNECTED,
        WORKER_LINK_STALLED,
        WORKER_RESPONSES_STALLED,
        WORKER_LINK_SLOW,
        CONFIGURATION_PUBLISHED
    }

    private final SoakFleet mFleet;
    private final Random mRandom;
    private final List<Thread> mInjectionThreads = new CopyOnWriteArrayList<>();
    private final List<String> mInjected = new CopyOnWriteArrayList<>();

    SoakFaults(SoakFleet fleet, long seed) {
        mFleet = fleet;
        mRandom = new Random(seed);
    }

    /**
     * Injects faults and waits until all are reverted.
     *
     * @param totalMillis for how long faults are injected, in milliseconds
     */
    void run(long totalMillis) {
        long end = mFleet.mClock.now() + totalMillis;
        while (mFleet.mClock.now() < end) {
            Fault fault = Fault.values()[mRandom.nextInt(Fault.values().length)];
            int selector = mRandom.nextInt(SoakFleet.ENTRIES * SoakFleet.WORKERS);
            long durationMillis = 1 + mRandom.nextInt(MAX_FAULT_MILLIS);
            mInjected.add(
                    mFleet.mClock.now()
                            + " "
                            + fault
                            + " "
                            + selector
                            + " "
                            + durationMillis
                            + " ms");
            mInjectionThreads.add(
                    Thread.ofVirtual().start(() -> inject(fault, selector, durationMillis)));
            ProcessFleet.sleep(mRandom.nextInt(MAX_PAUSE_MILLIS));
        }
        mInjectionThreads.forEach(SoakFaults::join);
    }

    /**
     * Returns a description of each injected fault: time in milliseconds since the epoch, kind,
     * selector of the instance, and duration.
     */
    List<String> injected() {
        return mInjected;
    }

    private void inject(Fault fault, int selector, long durationMillis) {
        int entry = selector % SoakFleet.ENTRIES;
        int worker = selector % SoakFleet.WORKERS;
        switch (fault) {
            case ENTRY_KILLED, ENTRY_FROZEN, ENTRY_RESTARTED ->
                    injectProcessFault(mFleet.mEntries.get(entry), fault, durationMillis);
            case SIDECAR_KILLED, SIDECAR_FROZEN, SIDECAR_RESTARTED ->
                    injectProcessFault(mFleet.mSidecars.get(worker), fault, durationMillis);
            case ENTRY_SETTINGS_CHANGED -> changeSettings(entry, durationMillis);
            case STORE_REJECTING -> injectStoreFault(KvStandIn.Fault.REJECTING, durationMillis);
            case STORE_UNRESPONSIVE ->
                    injectStoreFault(KvStandIn.Fault.UNRESPONSIVE, durationMillis);
            case STORE_HISTORY_COMPACTED -> mFleet.mStore.compactHistory();
            case STORE_DISCONNECTED -> injectDisconnect(mFleet.mStoreProxy, durationMillis);
            case CONFIGURATION_PUBLISHED -> mFleet.publish();
            case WORKER_RESTARTED -> mFleet.mWorkers.get(worker).restart();
            case WORKER_STALLED, WORKER_FAILING -> injectWorkerFault(worker, fault, durationMillis);
            case WORKER_DISCONNECTED ->
                    injectDisconnect(mFleet.mWorkerProxies.get(worker), durationMillis);
            case WORKER_LINK_STALLED, WORKER_RESPONSES_STALLED, WORKER_LINK_SLOW ->
                    injectLinkFault(mFleet.mWorkerProxies.get(worker), fault, durationMillis);
        }
    }

    /** Injects one fault at a time per process; the end of one would revert an overlapping one. */
    private static void injectProcessFault(ChildProcess process, Fault fault, long durationMillis) {
        synchronized (process) {
            switch (fault) {
                case ENTRY_FROZEN, SIDECAR_FROZEN -> {
                    process.freeze();
                    ProcessFleet.sleep(durationMillis);
                    process.resume();
                }
                case ENTRY_KILLED, SIDECAR_KILLED -> {
                    process.kill();
                    ProcessFleet.sleep(durationMillis);
                    process.start();
                }
                default -> {
                    process.terminate();
                    process.start();
                }
            }
        }
    }

    private void changeSettings(int entry, long durationMillis) {
        ChildProcess process = mFleet.mEntries.get(entry);
        synchronized (process) {
            mFleet.changeSettings(entry, false);
            process.sendSighup();
            ProcessFleet.sleep(durationMillis);
            mFleet.changeSettings(entry, true);
            process.sendSighup();
        }
    }

    private void injectStoreFault(KvStandIn.Fault fault, long durationMillis) {
        synchronized (mFleet.mStoreProxy) {
            mFleet.mStore.setFault(fault);
            ProcessFleet.sleep(durationMillis);
            mFleet.mStore.setFault(KvStandIn.Fault.NONE);
        }
    }

    private static void injectDisconnect(FaultProxy proxy, long durationMillis) {
        synchronized (proxy) {
            proxy.disconnect(true);
            ProcessFleet.sleep(durationMillis);
            proxy.disconnect(false);
        }
    }

    private void injectWorkerFault(int worker, Fault fault, long durationMillis) {
        synchronized (mFleet.mWorkerProxies.get(worker)) {
            boolean failing = fault == Fault.WORKER_FAILING;
            setWorkerFault(worker, failing, true);
            ProcessFleet.sleep(durationMillis);
            setWorkerFault(worker, failing, false);
        }
    }

    private void setWorkerFault(int worker, boolean failing, boolean on) {
        if (failing) {
            mFleet.mWorkers.get(worker).setFailing(on);
        } else {
            mFleet.mWorkers.get(worker).setStalled(on);
        }
    }

    private static void injectLinkFault(FaultProxy proxy, Fault fault, long durationMillis) {
        synchronized (proxy) {
            switch (fault) {
                case WORKER_LINK_STALLED -> proxy.stall(true, true);
                case WORKER_RESPONSES_STALLED -> proxy.stall(false, true);
                default -> proxy.setDelay(Math.min(durationMillis, MAX_DELAY_MILLIS));
            }
            ProcessFleet.sleep(durationMillis);
            proxy.stall(false, false);
            proxy.setDelay(0);
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
