package org.jackdawsaddle.standin.load;

/** How tasks find their targets in a measurement. */
public enum Policy {
    /** One queue for all, the fastest free slot first, without latency: the ideal. */
    IDEAL,
    /** Each task to a target drawn at random. */
    RANDOM,
    /** Each task to the next target in turn, for each entry. */
    ROUND_ROBIN,
    /** Each task to the shorter queue of two targets drawn at random and probed. */
    TWO_CHOICES,
    /** Two reservations for each task; a target asks for a task when it reaches one. */
    BATCH_SAMPLING,
    /** The product. */
    JACKDAWSADDLE
}
