package org.jackdawsaddle.config;

/**
 * A limit on the tasks of a job kind that are in hand at a time, for one team or for all teams
 * together. Each partition of the service enforces an equal share of it, rounded up.
 *
 * @param name the unique name among limits
 * @param kind the job kind that is limited
 * @param team the team that is limited, or an empty string for all teams together
 * @param tasksInHand the maximum number of tasks in jobs that have not ended
 */
public record LimitObject(String name, String kind, String team, int tasksInHand)
        implements NamedObject {

    /** Replaces an absent team by the empty string. */
    public LimitObject {
        team = team == null ? "" : team;
    }
}
