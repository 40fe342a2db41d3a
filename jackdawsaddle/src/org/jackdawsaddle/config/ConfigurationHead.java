package org.jackdawsaddle.config;

import java.util.List;

/**
 * A revision of the configuration with the audit trail up to it: the newest one, which the store
 * holds as one value, or the one in force at a process.
 *
 * @param revision the revision of the set, incremented by each publication; 0 before the first
 * @param set all objects of this revision
 * @param audit the latest published changes, at most 200, newest first
 */
public record ConfigurationHead(long revision, ConfigurationSet set, List<AuditRecord> audit) {
    /** The configuration before the first publication. */
    public static final ConfigurationHead NONE =
            new ConfigurationHead(0, ConfigurationSet.EMPTY, List.of());

    /** Makes an immutable copy of the audit records. */
    public ConfigurationHead {
        audit = List.copyOf(audit);
    }
}
