package org.jackdawsaddle.config;

/**
 * A limit on a job kind, for all teams or for one.
 *
 * @param name the unique name among limits
 * @param kind the job kind that it narrows
 * @param team the team that it narrows, or an empty text for all teams together
 * @param tasksInHand the most tasks that wait or run at a time
 */
public record LimitObject(String name, String kind, String team, int tasksInHand)
        implements NamedObject {

    /** Replaces an absent team by the empty text. */
    public LimitObject {
        team = team == null ? "" : team;
    }
}
