package org.jackdawsaddle.settings;

import java.util.List;

/**
 * The settings of a sidecar.
 *
 * @param name the name of the target instance beside which it runs
 * @param dataCentre where it stands
 * @param httpAddress where its target announces itself, as host:port
 * @param entryAddresses where some entries listen for sidecars, as host:port; they tell the others
 * @param drainMillis how long a shutdown waits for tasks in hand
 * @param traceFile where to record all decisions for replay; empty for none
 */
public record SidecarSettings(
        String name,
        String dataCentre,
        String httpAddress,
        List<String> entryAddresses,
        long drainMillis,
        String traceFile) {

    /** Copies the list of addresses. */
    public SidecarSettings {
        entryAddresses = entryAddresses == null ? List.of() : List.copyOf(entryAddresses);
    }
}
