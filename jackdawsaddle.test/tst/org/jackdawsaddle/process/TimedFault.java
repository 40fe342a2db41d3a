package org.jackdawsaddle.process;

/**
 * A fault with a fixed schedule. Times are in milliseconds after a moment that the test chooses,
 * negative before it.
 */
record TimedFault(long fromMillis, long untilMillis, Runnable begin, Runnable end) {
    /** Returns a fault during which a process stands still. */
    static TimedFault freeze(ChildProcess process, long fromMillis, long untilMillis) {
        return new TimedFault(fromMillis, untilMillis, process::freeze, process::resume);
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
    void schedule(long moment) {
        Thread.ofPlatform().daemon().name("timed-fault").start(() -> run(moment));
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
