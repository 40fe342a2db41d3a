package org.jackdawsaddle.standin.fleet;

import org.jackdawsaddle.config.Demand;

/**
 * The specification of a target in a local fleet.
 *
 * @param name its name
 * @param service the service that it runs
 * @param dataCentre the data centre that its sidecar reports
 * @param slots the announced limit of concurrent tasks
 * @param connections the announced limit of connections
 * @param capacity the resources of its machine
 * @param speed divides the run time that a task has at speed 1; at 0.5 it takes twice as long
 */
public record TargetSpec(
        String name,
        String service,
        String dataCentre,
        int slots,
        int connections,
        Demand capacity,
        double speed) {}
