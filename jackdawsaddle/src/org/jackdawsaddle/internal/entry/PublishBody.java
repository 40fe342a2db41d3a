package org.jackdawsaddle.internal.entry;

import org.jackdawsaddle.config.ConfigurationSet;

/**
 * The request body that publishes a configuration.
 *
 * @param baseRevision the revision on which the change is based; another revision in force is a
 *     conflict
 * @param publicationId the idempotency key: repeating a request with the same id has no effect
 * @param author the operator who publishes
 * @param reason the reason for the change
 * @param set the complete new configuration
 */
public record PublishBody(
        long baseRevision,
        String publicationId,
        String author,
        String reason,
        ConfigurationSet set) {}
