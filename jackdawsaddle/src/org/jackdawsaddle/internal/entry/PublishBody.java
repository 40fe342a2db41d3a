package org.jackdawsaddle.internal.entry;

import org.jackdawsaddle.config.ConfigurationSet;

/**
 * The request body that publishes a configuration.
 *
 * @param baseRevision the revision on which the change is based; it is a conflict if the published
 *     one differs
 * @param publicationId the idempotency key: repeating a request with the same id has no effect
 *     while the audit trail contains the id
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
