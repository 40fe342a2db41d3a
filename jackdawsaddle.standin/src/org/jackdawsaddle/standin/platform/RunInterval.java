package org.jackdawsaddle.standin.platform;

/**
 * When a run was active on a worker.
 *
 * @param startedAt when it started, in milliseconds since the epoch
 * @param endedAt when it ended, in milliseconds since the epoch; {@link #NOT_ENDED} if it has not
 */
public record RunInterval(String task, int run, long startedAt, long endedAt) {
    /** The end of a run that is still active. */
    public static final long NOT_ENDED = Long.MAX_VALUE;
}
