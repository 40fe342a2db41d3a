package org.jackdawsaddle.config;

/**
 * A team that shares the platform, with its quota. Each partition of a service enforces an equal
 * share of the quota, rounded up.
 *
 * @param name the unique name among teams
 * @param tasksInHand the maximum number of tasks in its jobs that have not ended, 0 for no quota
 */
public record TeamObject(String name, int tasksInHand) implements NamedObject {}
