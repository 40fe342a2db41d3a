package org.jackdawsaddle.internal.entry;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jackdawsaddle.internal.dispatch.EntryStatus;
import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.JobRequest;
import org.jackdawsaddle.job.SubmissionId;

/** What the HTTP side of an entry asks of its control thread. */
public interface EntryApi {
    /** Submits a job; the future always ends with an answer. */
    CompletableFuture<JobAnswer> submit(JobRequest request);

    /** Asks for the state of a job. */
    CompletableFuture<JobAnswer> query(SubmissionId id, String service);

    /** Cancels a job. */
    void cancel(SubmissionId id, String service);

    /** Issues ids; with a kind they belong to a partition of this entry if it has one. */
    CompletableFuture<List<SubmissionId>> issueIds(int count, Optional<String> kind);

    /** Returns the status of this entry and of all peers that answer within a second. */
    CompletableFuture<List<EntryStatus>> status();

    /** Returns the JSON text of the configuration in force. */
    CompletableFuture<String> configuration();

    /** Returns whether callers should be sent here. */
    boolean ready();

    /** Returns the time in milliseconds since the epoch. */
    long now();
}
