package org.jackdawsaddle.internal.dispatch;

/**
 * Intervals, timeouts and tolerances, in milliseconds, on which entries and sidecars must agree.
 */
public final class Timing {
    /** The tick interval of an entry that has work. */
    public static final long TICK_MILLIS = 20;

    /** The tick interval of an entry without work. */
    public static final long IDLE_TICK_MILLIS = 200;

    /** The tick interval of a sidecar. */
    public static final long SIDECAR_TICK_MILLIS = 500;

    /** The interval at which an owner renews its lease. */
    public static final long LEASE_RENEWAL_MILLIS = 2_000;

    /**
     * How long a confirmed lease allows refusals: until this time after it sent a renewal that a
     * majority has confirmed, an owner may state that no task of a job was started. A new owner
     * waits as long after the last seal, so that its predecessor can no longer make such a
     * statement.
     */
    public static final long REFUSAL_LEASE_MILLIS = 500;

    /** How long after a takeover an in-doubt submission waits for an unreachable sidecar. */
    public static final long IN_DOUBT_TIMEOUT_MILLIS = 6_000;

    /** How long a submission id is valid after its timestamp. */
    public static final long ID_LIFETIME_MILLIS = 300_000;

    /** How far an id's timestamp may be ahead of the clock that checks it. */
    public static final long MAX_ID_AHEAD_MILLIS = 2_000;

    /**
     * How far the timestamp of a started id may be ahead of the latest renewal that a majority has
     * confirmed. A new owner learns of that renewal from the seals, and thus knows, without
     * comparing clocks, which ids its predecessor cannot have started.
     */
    public static final long ID_HORIZON_MILLIS = LEASE_RENEWAL_MILLIS + MAX_ID_AHEAD_MILLIS + 500;

    /** The maximum clock skew between two machines; above it, ids may be refused wrongly. */
    public static final long MAX_CLOCK_SKEW_MILLIS = 10_000;

    /** The lease of an entry's record in the store. */
    public static final long MEMBERSHIP_LEASE_MILLIS = 10_000;

    /** The interval at which an entry renews its record in the store. */
    public static final long MEMBERSHIP_RENEWAL_MILLIS = 3_000;

    /** The interval at which an entry sends heartbeats to its peers. */
    public static final long PEER_HEARTBEAT_MILLIS = 500;

    /** How long after the last message from a peer its partitions may be taken over. */
    public static final long PEER_TIMEOUT_MILLIS = 2_000;

    /**
     * Replaces {@link #PEER_TIMEOUT_MILLIS} while a connection to the peer was lost and none could
     * be opened again.
     */
    public static final long PEER_DISCONNECTED_TIMEOUT_MILLIS = 400;

    /** The delay between the claims of consecutive candidates for a vacant partition. */
    public static final long CLAIM_STAGGER_MILLIS = 300;

    /** How long a disconnected sidecar stays in use in the roster. */
    public static final long ROSTER_GRACE_MILLIS = 10_000;

    /** The delay before an unanswered store call is retried. */
    public static final long STORE_RETRY_MILLIS = 500;

    private Timing() {}
}
