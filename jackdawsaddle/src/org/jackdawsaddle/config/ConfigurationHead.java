package org.jackdawsaddle.config;

import java.util.List;

/**
 * The published configuration, as one value of the store.
 *
 * @param revision the number of the set, one more with each publication
 * @param set the objects in force
 * @param audit the accepted changes, the newest first, bounded in number
 */
public record ConfigurationHead(long revision, ConfigurationSet set, List<AuditRecord> audit) {
    /** What is in force before anything was published. */
    public static final ConfigurationHead NONE =
            new ConfigurationHead(0, ConfigurationSet.EMPTY, List.of());

    /** Copies the audit trail. */
    public ConfigurationHead {
        audit = List.copyOf(audit);
    }
}
