package org.jackdawsaddle.standin.fleet;

import org.jackdawsaddle.config.Demand;

/**
 * A target of a local fleet.
 *
 * @param name its name
 * @param service the service that it runs
 * @param dataCentre where it is said to stand
 * @param slots the most tasks at a time
 * @param connections the most connections
 * @param capacity what its machine has
 * @param speed how much faster than declared it runs a task
 */
public record TargetSpec(
        String name,
        String service,
        String dataCentre,
        int slots,
        int connections,
        Demand capacity,
        double speed) {}
