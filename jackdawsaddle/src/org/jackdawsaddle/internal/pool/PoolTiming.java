package org.jackdawsaddle.internal.pool;

/** Timeouts and intervals that entries and sidecars of a pool must agree on. */
public final class PoolTiming {
    /** The interval of the ticks of entries that have work; the shortest one of sidecars. */
    public static final long TICK_INTERVAL_MILLIS = 20;

    /**
     * The interval of the ticks of idle entries. It is shorter than the delay after which callers
     * send a job again, so that a pause of that length shows as a late tick.
     */
    public static final long IDLE_TICK_INTERVAL_MILLIS = 500;

    /**
     * The interval of heartbeats on an active connection: the entry watches the sidecar or has
     * placed runs there.
     */
    public static final long HEARTBEAT_INTERVAL_MILLIS = 150;

    /** An active connection without messages for this long is closed and opened again. */
    public static final long CONNECTION_TIMEOUT_MILLIS = 600;

    /** How long a sidecar keeps the runs of a disconnected entry before it stops them. */
    public static final long RECONNECT_TIMEOUT_MILLIS = 300;

    /**
     * A sidecar renews no lease while it holds runs of an entry that has sent nothing for this
     * long: the entry may have lost the caller meanwhile.
     */
    public static final long RENEWAL_SILENCE_MILLIS = 450;

    /**
     * An order to a target that got no answer may be carried out until it is this old; a target
     * carries it out seconds later at most.
     */
    public static final long ORDER_EXPIRY_MILLIS = 30_000;

    /** The interval of heartbeats between entries. */
    public static final long PEER_HEARTBEAT_INTERVAL_MILLIS = 1_000;

    /** A connection between entries without messages for this long is closed and opened again. */
    public static final long PEER_TIMEOUT_MILLIS = 2_000;

    /**
     * How long two entries, of which one answers jobs for the other, may hear nothing from each
     * other before they abandon these jobs: as long as sidecars keep the runs of a lost entry.
     */
    public static final long HAND_OVER_TIMEOUT_MILLIS =
            CONNECTION_TIMEOUT_MILLIS + RECONNECT_TIMEOUT_MILLIS;

    /** The interval of heartbeats to sidecars on connections that are not active. */
    public static final long IDLE_HEARTBEAT_INTERVAL_MILLIS = 10_000;

    /** A sidecar answers a heartbeat on an idle connection if its last report is this old. */
    public static final long IDLE_ANSWER_INTERVAL_MILLIS = 5_000;

    /** How long after its last report on an idle connection a sidecar reports unasked. */
    public static final long IDLE_REPORT_INTERVAL_MILLIS = 12_000;

    /** The same as {@link #CONNECTION_TIMEOUT_MILLIS} for other connections. */
    public static final long IDLE_CONNECTION_TIMEOUT_MILLIS = 25_000;

    /** The shortest time between two reports of free capacity that no order has caused. */
    public static final long ROOM_INTERVAL_MILLIS = 50;

    /** A tick that is late by more means that the process was paused or its clock jumped. */
    public static final long PAUSE_THRESHOLD_MILLIS = 300;

    /** An entry places no new tasks on a sidecar that has sent nothing for this long. */
    public static final long SUSPECT_AFTER_MILLIS = 400;

    /**
     * A run that has not ended this long after its stop was ordered is reported to the other
     * entries, as their callers may send its job again; and its lease is no longer renewed until
     * the target has confirmed the stop.
     */
    public static final long STOP_TIMEOUT_MILLIS = 300;

    /**
     * The lease that a sidecar requests for the runs of its target, if the target grants as much.
     * It covers a few polls, and is short because the tasks of an unresponsive target cannot be
     * retried before it expires.
     */
    public static final long LEASE_MILLIS = 700;

    /** How much longer than requested a lease may last, as the target's clock may be slow. */
    public static final long LEASE_SLACK_MILLIS = 50;

    /** A sidecar refuses start orders that quote a reading of its clock older than this. */
    public static final long MAX_ORDER_AGE_MILLIS = CONNECTION_TIMEOUT_MILLIS;

    /**
     * Returns how long after the last message of a sidecar none of its runs can still be active, in
     * milliseconds: by then the sidecar has stopped them, or their lease has expired, as neither a
     * sidecar that has died nor one that waits for their end renews it.
     *
     * @param leaseMillis the longest lease that a target grants, in milliseconds
     */
    public static long goneAfterMillis(long leaseMillis) {
        long lease = Math.min(leaseMillis, LEASE_MILLIS);
        return 2 * CONNECTION_TIMEOUT_MILLIS
                + RECONNECT_TIMEOUT_MILLIS
                + lease
                + LEASE_SLACK_MILLIS;
    }

    private PoolTiming() {}
}
