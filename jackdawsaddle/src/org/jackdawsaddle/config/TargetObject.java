package org.jackdawsaddle.config;

/**
 * The configuration of one target. Targets announce themselves; an object is needed only to drain a
 * target or to limit its slots.
 *
 * @param name the name under which the target announces itself
 * @param service the service that the target belongs to
 * @param drained true if the target must get no new tasks
 * @param slots the maximum number of the announced slots to use, or 0 for all of them
 */
public record TargetObject(String name, String service, boolean drained, int slots)
        implements NamedObject {}
