package org.jackdawsaddle.standin.target;

import org.jackdawsaddle.config.Demand;

/**
 * The settings of a stand-in target.
 *
 * @param name the name under which it announces itself
 * @param service the service that it runs
 * @param httpAddress where it accepts tasks, as host:port
 * @param sidecarAddress where its sidecar accepts announcements, as host:port
 * @param slots the announced limit of concurrent tasks
 * @param connections the announced limit of connections
 * @param capacity the resources of its machine
 * @param speed divides the run time in the payload of a task; at 0.5 it takes twice as long
 * @param ledgerFile the file to which it appends every start, one task per line; empty to keep them
 *     in memory only
 */
public record TargetSettings(
        String name,
        String service,
        String httpAddress,
        String sidecarAddress,
        int slots,
        int connections,
        Demand capacity,
        double speed,
        String ledgerFile) {}
