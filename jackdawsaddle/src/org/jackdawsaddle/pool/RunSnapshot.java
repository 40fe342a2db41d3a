package org.jackdawsaddle.pool;

import java.util.List;

/**
 * What a target says of the runs that it holds.
 *
 * @param startedAt the start of the life that speaks; 0 if it did not say
 * @param clock the reading of its steady clock, in milliseconds
 * @param running runs that have not ended
 * @param ended runs whose ends were not confirmed to it yet, oldest first
 */
public record RunSnapshot(long startedAt, long clock, List<Running> running, List<Ended> ended) {

    /** Copies the lists. */
    public RunSnapshot {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /** A run that has not ended. */
    public record Running(String task, int run) {}

    /** How a run ended. */
    public enum Outcome {
        /** It did what it should. */
        DONE,
        /** It failed by its own fault or the target's. */
        FAILED,
        /** It was stopped, or ended by something else than itself. */
        CUT_OFF
    }

    /**
     * A run that has ended.
     *
     * @param number counts the ends of a target's life, from 1
     */
    public record Ended(long number, String task, int run, Outcome outcome) {}
}
