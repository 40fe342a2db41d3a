package org.jackdawsaddle.internal.entry;

import org.jackdawsaddle.config.ConfigurationSet;

/**
 * A publication as operators send it.
 *
 * @param baseRevision the revision that the change was made on
 * @param publicationId the identity of the call; a repeated call with the same one changes nothing
 * @param author who publishes
 * @param reason why
 * @param set the whole set of objects
 */
public record PublishBody(
        long baseRevision,
        String publicationId,
        String author,
        String reason,
        ConfigurationSet set) {}
