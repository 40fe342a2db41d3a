package org.jackdawsaddle.config;

import java.util.List;

/**
 * A published change of the configuration, as recorded in the audit trail.
 *
 * @param revision the revision that the change created
 * @param publicationId the idempotency key of the publish call; after a lost response it tells
 *     whether the change took effect
 * @param publishedAt the time of the publication in milliseconds since the epoch, by the clock of
 *     the publishing process
 * @param author who published the change
 * @param reason the reason that the author gave
 * @param hash the SHA-256 hash of the set in JSON, in hexadecimal
 * @param changes one line for each object that was added, changed or removed, as from {@link
 *     ConfigurationDiff#lines}
 */
public record AuditRecord(
        long revision,
        String publicationId,
        long publishedAt,
        String author,
        String reason,
        String hash,
        List<String> changes) {

    /** Makes an immutable copy of the list of changes. */
    public AuditRecord {
        changes = List.copyOf(changes);
    }
}
