package org.jackdawsaddle.internal.pool;

/** Times that both roles of a pool must agree on, in milliseconds. */
public final class PoolTiming {
    /** Between ticks of the decisions. */
    public static final long TICK_INTERVAL_MILLIS = 20;

    /** Between messages that show that a process lives. */
    public static final long PING_INTERVAL_MILLIS = 150;

    /** After this silence a connection is closed and opened again. */
    public static final long CONNECTION_TIMEOUT_MILLIS = 600;

    /** Where a process does nothing for longer than this, it stood still or its clock leapt. */
    public static final long PAUSE_THRESHOLD_MILLIS = 300;

    /** After this silence an entry places nothing more at a sidecar. */
    public static final long SUSPECT_AFTER_MILLIS = 400;

    /** How long a sidecar lets runs of an entry go on without a connection to it. */
    public static final long RECONNECT_MILLIS = 300;

    /**
     * Leases that a sidecar asks for, if its target grants as much: a few calls for lists long, and
     * short, as the tasks of a target that goes silent wait for their end.
     */
    public static final long LEASE_MILLIS = 700;

    /** How much longer than asked a lease may last, as a target's clock may be slow. */
    public static final long LEASE_SLACK_MILLIS = 50;

    /** A sidecar refuses orders that quote a clock reading older than this. */
    public static final long MAX_ORDER_AGE_MILLIS = CONNECTION_TIMEOUT_MILLIS;

    /**
     * Returns the silence after which nothing that an entry has placed at a sidecar runs any more:
     * the sidecar has stopped it, or has died and the lease has ended.
     *
     * @param leaseMillis the longest lease that a target grants
     */
    public static long goneAfterMillis(long leaseMillis) {
        long lease = Math.min(leaseMillis, LEASE_MILLIS);
        return 2 * CONNECTION_TIMEOUT_MILLIS + RECONNECT_MILLIS + lease + LEASE_SLACK_MILLIS;
    }

    private PoolTiming() {}
}
