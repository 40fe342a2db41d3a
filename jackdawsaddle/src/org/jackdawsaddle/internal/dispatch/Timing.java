package org.jackdawsaddle.internal.dispatch;

/** The spans of time on which entries and sidecars have to agree, in milliseconds. */
public final class Timing {
    /** How often an entry with work in hand looks at its deadlines. */
    public static final long TICK_MILLIS = 20;

    /** The same for an entry without work in hand. */
    public static final long IDLE_TICK_MILLIS = 200;

    /** How often a sidecar looks at its deadlines. */
    public static final long SIDECAR_TICK_MILLIS = 500;

    /** How often an owner renews its lease. */
    public static final long LEASE_RENEWAL_MILLIS = 2_000;

    /**
     * How long a confirmed lease allows an owner to say that nothing was started, and how long the
     * next owner waits after the last seal.
     */
    public static final long REFUSAL_LEASE_MILLIS = 500;

    /** How long a submission in doubt waits for a sidecar that is out of reach. */
    public static final long IN_DOUBT_TIMEOUT_MILLIS = 6_000;

    /** How long a submission id is valid, counted from its timestamp. */
    public static final long ID_LIFETIME_MILLIS = 300_000;

    /** How far an id's timestamp may lie ahead of the clock that checks it. */
    public static final long MAX_ID_AHEAD_MILLIS = 2_000;

    /**
     * How far the timestamp of an id that is started may lie after the latest renewal that a
     * majority has confirmed. A new owner learns of that renewal, and so knows without a clock
     * which ids its predecessor cannot have started.
     */
    public static final long ID_HORIZON_MILLIS = LEASE_RENEWAL_MILLIS + MAX_ID_AHEAD_MILLIS + 500;

    /** How much the clocks of two machines may differ before ids are refused wrongly. */
    public static final long MAX_CLOCK_SKEW_MILLIS = 10_000;

    /** The lease of an entry's own record in the store. */
    public static final long MEMBERSHIP_LEASE_MILLIS = 10_000;

    /** How often an entry renews its record in the store. */
    public static final long MEMBERSHIP_RENEWAL_MILLIS = 3_000;

    /** How often an entry sends a heartbeat to its peers. */
    public static final long PEER_HEARTBEAT_MILLIS = 500;

    /** After how long without a sign of life another entry may take over a peer's partitions. */
    public static final long PEER_TIMEOUT_MILLIS = 2_000;

    /** The same, where a connection to the peer has ended and none can be opened. */
    public static final long PEER_DISCONNECTED_TIMEOUT_MILLIS = 400;

    /** The delay of each further candidate for a vacant partition. */
    public static final long CLAIM_STAGGER_MILLIS = 300;

    /** How long a disconnected sidecar stays in the roster. */
    public static final long ROSTER_GRACE_MILLIS = 10_000;

    /** The pause before an unanswered store call is repeated. */
    public static final long STORE_RETRY_MILLIS = 500;

    private Timing() {}
}
