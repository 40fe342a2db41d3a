package org.jackdawsaddle.config;

/**
 * What operators say of one target. Targets announce themselves; an object is needed only to drain
 * a target or to narrow it.
 *
 * @param name the name under which the target announces itself
 * @param service the service that it belongs to
 * @param drained whether it takes no new work
 * @param slots the most tasks that it runs at a time, or 0 to use what it announces
 */
public record TargetObject(String name, String service, boolean drained, int slots)
        implements NamedObject {}
