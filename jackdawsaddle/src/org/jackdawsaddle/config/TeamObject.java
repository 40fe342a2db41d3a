package org.jackdawsaddle.config;

/**
 * A team that shares the platform.
 *
 * @param name the unique name among teams
 * @param tasksInHand the most tasks of the team that wait or run at a time, 0 for no quota
 */
public record TeamObject(String name, int tasksInHand) implements NamedObject {}
