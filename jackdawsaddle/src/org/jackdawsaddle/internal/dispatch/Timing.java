package org.jackdawsaddle.internal.dispatch;

/**
 * Intervals, timeouts and tolerances of entries and sidecars, in milliseconds. All processes must
 * agree on those of leases, ids and clocks.
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
     * waits as long after the last seal, unless the partition was released, so that its predecessor
     * can no longer make such a statement.
     */
    public static final long REFUSAL_LEASE_MILLIS = 500;

    /**
     * How long after the activation of a partition an in-doubt submission waits for an unreachable
     * sidecar.
     */
    public static final long IN_DOUBT_TIMEOUT_MILLIS = 6_000;

    /** How long a submission id is valid after its timestamp. */
    public static final long ID_LIFETIME_MILLIS = 300_000;

    /** How far an id's timestamp may be ahead of the clock that checks it. */
    public static final long MAX_ID_AHEAD_MILLIS = 2_000;

    /**
     * How far the timestamp of an id whose tasks are started may be ahead of the latest renewal
     * that a majority has confirmed. A new owner learns of that renewal from the seals, and thus
     * knows, without comparing clocks, of which ids its predecessor cannot have started tasks.
     */
    public static final long ID_HORIZON_MILLIS = LEASE_RENEWAL_MILLIS + MAX_ID_AHEAD_MILLIS + 500;

    /**
     * The maximum clock skew between two machines. Above it, ids may be refused wrongly, and a
     * submission may be started again after a takeover.
     */
    public static final long MAX_CLOCK_SKEW_MILLIS = 10_000;

    /** The lease of an entry's record in the store. */
    public static final long MEMBERSHIP_LEASE_MILLIS = 10_000;

    /** The interval at which an entry renews its record in the store. */
    public static final long MEMBERSHIP_RENEWAL_MILLIS = 3_000;

    /** The interval at which an entry sends heartbeats to its peers. */
    public static final long PEER_HEARTBEAT_MILLIS = 500;

    /** How long after the last message from a peer its partitions count as vacant. */
    public static final long PEER_TIMEOUT_MILLIS = 2_000;

    /**
     * The timeout that replaces {@link #PEER_TIMEOUT_MILLIS} after the connection to a peer was
     * lost, until it is open again; it starts at the loss.
     */
    public static final long PEER_DISCONNECTED_TIMEOUT_MILLIS = 400;

    /** The delay between the claims of consecutive candidates for a vacant partition. */
    public static final long CLAIM_STAGGER_MILLIS = 300;

    /** How long a disconnected sidecar stays eligible in the roster. */
    public static final long ROSTER_GRACE_MILLIS = 10_000;

    /** The delay after a store call without an answer before the store is asked again. */
    public static final long STORE_RETRY_MILLIS = 500;

    private Timing() {}
}
