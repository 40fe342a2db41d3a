package org.jackdawsaddle.process;

import java.util.ArrayList;
import java.util.List;

/**
 * A fault with a fixed schedule. Times are in milliseconds after a moment that the test chooses,
 * negative before it.
 */
record TimedFault(long fromMillis, long untilMillis, Runnable begin, Runnable end) {
    /** Returns a fault during which a process stands still. */
    static TimedFault freeze(ChildProcess process, long fromMillis, long untilMillis) {
        return new TimedFault(fromMillis, untilMillis, process::freeze, process::resume);
    }

    /** Returns freezes that leave a process only a short slice of time between them. */
    static List<TimedFault> starve(
            ChildProcess process,
            long fromMillis,
            long untilMillis,
            long activeMillis,
            long frozenMillis) {
        List<TimedFault> freezes = new ArrayList<>();
        long from = fromMillis;
        while (from < untilMillis) {
            freezes.add(freeze(process, from, from + frozenMillis));
            from += frozenMillis + activeMillis;
        }
        return freezes;
    }

    /** Returns a fault during which a proxy holds back data; see {@link FaultProxy#stall}. */
    static TimedFault stall(
            FaultProxy proxy,
            boolean requests,
            boolean responses,
            long fromMillis,
            long untilMillis) {
        return new TimedFault(
                fromMillis,
                untilMillis,
                () -> proxy.stall(requests, responses),
                () -> proxy.stall(false, false));
    }

    /** Starts a thread that begins and ends the fault. */
    Thread schedule(long moment) {
        return Thread.ofPlatform().daemon().name("timed-fault").start(() -> run(moment));
    }

    private void run(long moment) {
        sleepUntil(moment + fromMillis);
        begin.run();
        sleepUntil(moment + untilMillis);
        end.run();
    }

    private static void sleepUntil(long time) {
        ProcessFleet.sleep(Math.max(0, time - System.currentTimeMillis()));
    }
}
