package org.jackdawsaddle.config;

/**
 * A team that shares the platform, with its quota. Each partition counts the team's tasks of all
 * services and admits a job only if the count stays within the quota divided by the number of
 * partitions of the job's service, rounded up.
 *
 * @param name the unique name among teams
 * @param tasksInHand the maximum number of tasks in its jobs that have not ended, 0 for no quota
 */
public record TeamObject(String name, int tasksInHand) implements NamedObject {}
