package org.jackdawsaddle.standin.target;

import org.jackdawsaddle.config.Demand;

/**
 * The settings of a stand-in target.
 *
 * @param name the name under which it announces itself
 * @param service the service that it runs
 * @param httpAddress where it takes tasks, as host:port
 * @param sidecarAddress where its sidecar takes announcements, as host:port
 * @param slots the most tasks at a time that it announces
 * @param connections the most connections that it announces
 * @param capacity what its machine has
 * @param speed how much faster than declared it runs a task; 0.5 takes twice as long
 * @param ledgerFile where it writes every start, empty for memory alone
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
