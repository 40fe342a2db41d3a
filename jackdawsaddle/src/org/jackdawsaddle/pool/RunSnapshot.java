package org.jackdawsaddle.pool;

import java.util.List;

/**
 * The runs that a target reports in answer to a poll.
 *
 * @param startedAt when the incarnation that answers started, in milliseconds since the epoch; 0 if
 *     the target does not tell
 * @param clock the reading of the target's monotonic clock at the answer, in milliseconds
 * @param running the runs that have not ended
 * @param ended the runs that have ended and were not acknowledged yet, oldest first
 */
public record RunSnapshot(long startedAt, long clock, List<Running> running, List<Ended> ended) {

    /** Takes unmodifiable copies of the lists. */
    public RunSnapshot {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /** Returns whether the incarnation has answered itself, as far as the target tells. */
    public boolean isOf(TargetIncarnation target) {
        return startedAt == 0 || startedAt == target.startedAt();
    }

    /**
     * A run that has not ended.
     *
     * @param task the name of the task
     * @param run the number of the run among those of the task, from 1
     */
    public record Running(String task, int run) {}

    /** How a run ended. */
    public enum Outcome {
        /** The run succeeded. */
        DONE,
        /** The run failed, by its own fault or the target's. */
        FAILED,
        /** The run was stopped, its lease has expired, or another external cause has ended it. */
        CUT_OFF
    }

    /**
     * A run that has ended.
     *
     * @param number the sequence number among the ended runs of the target's incarnation, from 1
     * @param task the name of the task
     * @param run the number of the run among those of the task, from 1
     */
    public record Ended(long number, String task, int run, Outcome outcome) {}
}
