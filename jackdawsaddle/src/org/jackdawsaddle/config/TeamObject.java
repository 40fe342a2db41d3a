package org.jackdawsaddle.config;

/**
 * A team that shares the platform.
 *
 * @param name the unique name among teams
 * @param tasksInHand the maximum number of its tasks that are queued or running, 0 for no quota
 */
public record TeamObject(String name, int tasksInHand) implements NamedObject {}
