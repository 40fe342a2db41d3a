package org.jackdawsaddle.config;

import java.util.List;

/**
 * One accepted change, as the audit trail keeps it.
 *
 * @param revision the revision that the change made
 * @param publicationId the identity of the publish call, by which a lost answer is settled
 * @param publishedAt the time in milliseconds since the epoch, by the publishing process
 * @param author who published it
 * @param reason why, in the author's words
 * @param hash the SHA-256 hash of the set, in hexadecimal
 * @param changes one line for each object added, changed or removed
 */
public record AuditRecord(
        long revision,
        String publicationId,
        long publishedAt,
        String author,
        String reason,
        String hash,
        List<String> changes) {

    /** Copies the list of changes. */
    public AuditRecord {
        changes = List.copyOf(changes);
    }
}
