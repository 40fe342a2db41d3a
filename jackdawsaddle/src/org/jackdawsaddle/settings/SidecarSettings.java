package org.jackdawsaddle.settings;

import java.util.List;

/**
 * The settings of a sidecar.
 *
 * @param name the name of the target instance that the sidecar serves
 * @param dataCentre the data centre of the target instance
 * @param httpAddress the listening address for announcements of the target, health checks and
 *     metrics, as host:port
 * @param entryAddresses the peer addresses of some entries, as host:port; these entries send the
 *     addresses of the others
 * @param drainMillis the longest time, in milliseconds, that a shutdown waits until no task runs
 *     and no entry needs the record of started tasks any more
 * @param traceFile the file that receives a trace of events and actions for replay; empty for none
 */
public record SidecarSettings(
        String name,
        String dataCentre,
        String httpAddress,
        List<String> entryAddresses,
        long drainMillis,
        String traceFile) {

    /** Makes an immutable copy of the list of addresses; an absent list becomes an empty one. */
    public SidecarSettings {
        entryAddresses = entryAddresses == null ? List.of() : List.copyOf(entryAddresses);
    }
}
