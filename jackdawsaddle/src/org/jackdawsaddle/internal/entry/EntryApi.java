package org.jackdawsaddle.internal.entry;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jackdawsaddle.internal.dispatch.EntryStatus;
import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.JobRequest;
import org.jackdawsaddle.job.SubmissionId;

/**
 * The operations of an entry, for HTTP handlers and for callers in the same process. Thread-safe.
 *
 * <p>The returned futures never fail; those that are pending when the entry stops, or that are
 * requested later, may never complete.
 */
public interface EntryApi {
    /** Submits a job; errors are reported as an answer. */
    CompletableFuture<JobAnswer> submit(JobRequest request);

    /**
     * Queries the state of a job; errors are reported as an answer.
     *
     * @param service the service that the job's kind belongs to
     */
    CompletableFuture<JobAnswer> query(SubmissionId id, String service);

    /**
     * Cancels a job, without waiting for the effect.
     *
     * @param service the service that the job's kind belongs to
     */
    void cancel(SubmissionId id, String service);

    /**
     * Issues submission ids.
     *
     * @param count the number of ids
     * @param kind the job kind for which the ids are used; if it is known and this entry owns
     *     active partitions of its service, the ids map to one of them; otherwise to random ones
     */
    CompletableFuture<List<SubmissionId>> issueIds(int count, Optional<String> kind);

    /**
     * Returns the status of this entry and of all connected peers that respond within one second.
     */
    CompletableFuture<List<EntryStatus>> status();

    /** Returns the configuration in force with its audit records, in JSON. */
    CompletableFuture<String> configuration();

    /** Returns whether this entry has a configuration and a layout and is not shutting down. */
    boolean ready();

    /** Returns the current time in milliseconds since the epoch. */
    long now();
}
