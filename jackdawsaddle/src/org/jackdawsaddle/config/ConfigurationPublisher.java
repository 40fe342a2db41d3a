package org.jackdawsaddle.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.jackdawsaddle.errors.ConfigurationConflictException;
import org.jackdawsaddle.errors.ConfigurationInvalidException;
import org.jackdawsaddle.errors.StoreUnavailableException;
import org.jackdawsaddle.internal.dispatch.StoreKeys;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.store.StoreClient;
import org.jackdawsaddle.store.StoreValue;

/**
 * Validates and publishes configuration sets. A set and the audit trail are one value of the store,
 * which each publication replaces by compare-and-set.
 */
public final class ConfigurationPublisher {
    private static final int MAX_AUDIT_RECORDS = 200;
    private static final int MAX_OUTCOME_READS = 3;

    private final StoreClient mStore;
    private final LongSupplier mClock;

    /**
     * Creates a publisher.
     *
     * @param clock returns the time in milliseconds since the epoch
     */
    public ConfigurationPublisher(StoreClient store, LongSupplier clock) {
        mStore = store;
        mClock = clock;
    }

    /** Reads the published configuration; {@link ConfigurationHead#NONE} if there is none yet. */
    public CompletableFuture<ConfigurationHead> read() {
        return mStore.read(StoreKeys.CONFIGURATION).thenApply(ConfigurationPublisher::parse);
    }

    /**
     * Publishes a set that was derived from the base revision.
     *
     * <p>The future fails with {@link ConfigurationConflictException} if the base revision is not
     * the current one or another change is published at the same time, with {@link
     * ConfigurationInvalidException} if the set has findings, and with {@link
     * StoreUnavailableException} if the store does not respond or responds with an error. In the
     * last case the set may have been published, or may still be; the call can be repeated with the
     * same publication id.
     *
     * @param publicationId the idempotency key; if it is in the audit trail, which keeps the latest
     *     200 publications, nothing is written
     * @return the published configuration; if the id was in the audit trail, the current one, which
     *     may be newer than this publication
     */
    public CompletableFuture<ConfigurationHead> publish(
            long baseRevision,
            String publicationId,
            String author,
            String reason,
            ConfigurationSet set) {
        return mStore.read(StoreKeys.CONFIGURATION)
                .thenCompose(value -> {
                    ConfigurationHead current = parse(value);
                    Optional<ConfigurationHead> published = headIfPublished(current, publicationId);
                    if (published.isPresent()) {
                        return CompletableFuture.completedFuture(published.get());
                    }
                    if (current.revision() != baseRevision) {
                        throw conflict(current, baseRevision);
                    }
                    requireValid(current, set);
                    AuditRecord record =
                            createAuditRecord(current, publicationId, author, reason, set);
                    return write(value, nextHead(current, record, set), publicationId);
                });
    }

    private CompletableFuture<ConfigurationHead> write(
            StoreValue value, ConfigurationHead head, String publicationId) {
        String json = Json.write(head);
        return mStore.compareAndSet(
                        StoreKeys.CONFIGURATION, value.version(), json, Optional.empty())
                .handle((version, failure) ->
                        failure == null && version.isPresent()
                                ? CompletableFuture.completedFuture(head)
                                : resolveOutcome(head, publicationId, MAX_OUTCOME_READS))
                .thenCompose(result -> result);
    }

    /** Determines by the publication id whether a rejected or failed write took effect. */
    private CompletableFuture<ConfigurationHead> resolveOutcome(
            ConfigurationHead intended, String publicationId, int remainingReads) {
        return read().handle(
                        (current, failure) -> {
                            if (failure != null && remainingReads > 1) {
                                return resolveOutcome(intended, publicationId, remainingReads - 1);
                            }
                            if (failure != null) {
                                throw new StoreUnavailableException(
                                        "Publication "
                                                + publicationId
                                                + " has an unknown outcome.");
                            }
                            if (headIfPublished(current, publicationId).isPresent()) {
                                return CompletableFuture.completedFuture(intended);
                            }
                            if (current.revision() < intended.revision()) {
                                throw new StoreUnavailableException(
                                        "Publication "
                                                + publicationId
                                                + " has not taken effect yet.");
                            }
                            throw conflict(current, intended.revision() - 1);
                        })
                .thenCompose(result -> result);
    }

    private static void requireValid(ConfigurationHead current, ConfigurationSet set) {
        List<Finding> findings = ConfigurationChecker.check(current.set(), set);
        if (!findings.isEmpty()) {
            throw new ConfigurationInvalidException(findings);
        }
    }

    private AuditRecord createAuditRecord(
            ConfigurationHead current,
            String publicationId,
            String author,
            String reason,
            ConfigurationSet set) {
        return new AuditRecord(
                current.revision() + 1,
                publicationId,
                mClock.getAsLong(),
                author,
                reason,
                hash(set),
                ConfigurationDiff.lines(current.set(), set));
    }

    private static ConfigurationHead nextHead(
            ConfigurationHead current, AuditRecord record, ConfigurationSet set) {
        List<AuditRecord> audit = new ArrayList<>();
        audit.add(record);
        current.audit().stream().limit(MAX_AUDIT_RECORDS - 1L).forEach(audit::add);
        return new ConfigurationHead(record.revision(), set, audit);
    }

    /** Returns the head if its audit trail has the publication, or empty. */
    private static Optional<ConfigurationHead> headIfPublished(
            ConfigurationHead head, String publicationId) {
        boolean found =
                head.audit().stream()
                        .anyMatch(record -> record.publicationId().equals(publicationId));
        return found ? Optional.of(head) : Optional.empty();
    }

    private static ConfigurationConflictException conflict(ConfigurationHead head, long base) {
        String competingChange =
                head.audit().stream()
                        .filter(record -> record.revision() > base)
                        .map(record ->
                                "revision "
                                        + record.revision()
                                        + " by "
                                        + record.author()
                                        + " ("
                                        + record.reason()
                                        + "): "
                                        + String.join("; ", record.changes()))
                        .findFirst()
                        .orElse("revision " + head.revision());
        return new ConfigurationConflictException(
                "The change is based on revision "
                        + base
                        + ", but the store has "
                        + competingChange
                        + ".");
    }

    private static ConfigurationHead parse(StoreValue value) {
        return value.absent()
                ? ConfigurationHead.NONE
                : Json.read(value.value(), ConfigurationHead.class);
    }

    private static String hash(ConfigurationSet set) {
        try {
            byte[] json = Json.write(set).getBytes(StandardCharsets.UTF_8);
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(json));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
