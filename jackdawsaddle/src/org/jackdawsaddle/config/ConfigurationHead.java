package org.jackdawsaddle.config;

import java.util.List;

/**
 * The published configuration with its audit trail; both are stored as one value.
 *
 * @param revision the revision of the set, incremented by each publication
 * @param set the published objects
 * @param audit the latest published changes, newest first
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
