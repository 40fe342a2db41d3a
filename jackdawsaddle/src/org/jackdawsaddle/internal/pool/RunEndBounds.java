package org.jackdawsaddle.internal.pool;

/**
 * How long a run may be active after its caller has left, at most. A caller that gets no answer
 * sends its job again one resend delay later, to any entry, also to one that cannot reach the
 * sidecar of the run. Nothing but time then keeps two runs of a task apart, so that each bound must
 * be below that delay.
 *
 * <p>All bounds are in milliseconds. They leave out how long a message takes between two processes
 * and how late a process is; what is left of the resend delay allows for these.
 */
public final class RunEndBounds {
    /**
     * Returns the bound for a run whose stop the target does not confirm: its entry requests the
     * stop when the caller leaves. The sidecar renews the lease until the stop is overdue.
     */
    public static long unconfirmedStopMillis() {
        return PoolTiming.STOP_TIMEOUT_MILLIS + longestLeaseMillis();
    }

    /**
     * Returns the bound for a run whose sidecar hears nothing more from its entry, from the time at
     * which the path was cut or the entry stood still: the caller may leave just then. The sidecar
     * renews the lease until the silence is too long.
     */
    public static long silentEntryMillis() {
        return PoolTiming.RENEWAL_SILENCE_MILLIS + longestLeaseMillis();
    }

    private static long longestLeaseMillis() {
        return PoolTiming.LEASE_MILLIS + PoolTiming.LEASE_SLACK_MILLIS;
    }

    private RunEndBounds() {}
}
