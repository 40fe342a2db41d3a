package org.jackdawsaddle.pgm;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.jackdawsaddle.config.AuditRecord;
import org.jackdawsaddle.config.ConfigurationSet;
import org.jackdawsaddle.errors.ErrorCode;
import org.jackdawsaddle.errors.JackdawException;
import org.jackdawsaddle.internal.dispatch.EntryStatus;
import org.jackdawsaddle.internal.http.HttpResponse;
import org.jackdawsaddle.internal.json.Json;
import picocli.CommandLine.Option;

/**
 * The command line options of a publication, and the requests that publish a set and, with --wait,
 * await its confirmation.
 */
final class Publication {
    private static final long CONFIRMATION_TIMEOUT_MILLIS = 8_000;
    private static final long STATUS_INTERVAL_MILLIS = 100;
    private static final int MAX_ATTEMPTS = 3;

    /** The body of the publish request. */
    private record Body(
            long baseRevision,
            String publicationId,
            String author,
            String reason,
            ConfigurationSet set) {}

    @Option(
            names = "--author",
            defaultValue = "${env:USER:-operator}",
            description = "Author of the change. Default: $USER.")
    private String mAuthor;

    @Option(
            names = {"-m", "--reason"},
            required = true,
            description = "Reason for the change, for the audit trail.")
    private String mReason;

    @Option(
            names = "--wait",
            description =
                    "Wait until responding entries and their sidecars confirm; exit 1 after 8 s.")
    private boolean mWait;

    /**
     * Publishes a set. If the entry responds with status 503, as it does if the store does not
     * respond, the request is retried up to two times without delay, with the same publication id.
     *
     * @param baseRevision the revision that the set is derived from
     * @return the record of the publication; after a retry possibly that of a later publication
     * @throws JackdawException if the set was not published, or the outcome is unknown
     */
    AuditRecord publish(AdminClient client, long baseRevision, ConfigurationSet set) {
        String id = UUID.randomUUID().toString();
        String body = Json.write(new Body(baseRevision, id, mAuthor, mReason, set));
        HttpResponse response = client.send("PUT", "/admin/v1/configuration", body);
        for (int attempt = 1; attempt < MAX_ATTEMPTS && serviceUnavailable(response); attempt++) {
            response = client.send("PUT", "/admin/v1/configuration", body);
        }
        return Json.read(client.requireSuccess(response).body(), AuditRecord.class);
    }

    /**
     * Waits for the revision to be confirmed if the --wait option is set. The time limit of 8 s is
     * checked between status requests, each of which can take another 10 s.
     *
     * @return the processes that have not confirmed it at the end of the wait, among the entries
     *     that respond and the sidecars connected to them; empty if the option is not set
     * @throws JackdawException if a status request fails or the wait is interrupted; the revision
     *     stays published
     */
    List<String> awaitConfirmation(AdminClient client, long revision) {
        if (!mWait) {
            return List.of();
        }
        long deadline = System.nanoTime() + CONFIRMATION_TIMEOUT_MILLIS * 1_000_000;
        List<String> unconfirmed = unconfirmed(client, revision);
        while (!unconfirmed.isEmpty() && System.nanoTime() < deadline) {
            pause();
            unconfirmed = unconfirmed(client, revision);
        }
        return unconfirmed;
    }

    private static boolean serviceUnavailable(HttpResponse response) {
        return response.status() == ErrorCode.STORE_UNAVAILABLE.httpStatus();
    }

    private static List<String> unconfirmed(AdminClient client, long revision) {
        List<String> unconfirmed = new ArrayList<>();
        for (EntryStatus status : client.status()) {
            if (status.revision() < revision) {
                unconfirmed.add("entry " + status.entry());
            }
            status.unconfirmed(revision).forEach(target -> unconfirmed.add("sidecar of " + target));
        }
        return unconfirmed;
    }

    private static void pause() {
        try {
            Thread.sleep(STATUS_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new JackdawException(
                    ErrorCode.DRAINING,
                    "interrupted while waiting for the confirmation of a published revision");
        }
    }
}
