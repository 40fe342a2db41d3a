package org.jackdawsaddle.standin.load;

/** How tasks are assigned to targets in a measurement. */
public enum Policy {
    /** The ideal: one global queue, the fastest free slot first, no latency. */
    IDEAL,
    /** Each task goes to a random target. */
    RANDOM,
    /** Each task goes to the next target in turn; every entry has its own turn. */
    ROUND_ROBIN,
    /** Two random targets are probed for each task, which goes to the shorter queue. */
    TWO_CHOICES,
    /** Two reservations per task on random targets; a target that reaches one asks for a task. */
    BATCH_SAMPLING,
    /** The product itself, measured on a local fleet. */
    JACKDAWSADDLE
}
