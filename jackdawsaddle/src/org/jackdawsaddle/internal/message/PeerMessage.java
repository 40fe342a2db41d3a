package org.jackdawsaddle.internal.message;

import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.JobRequest;
import org.jackdawsaddle.job.SubmissionId;

/** A message from an entry to another entry. */
public sealed interface PeerMessage extends Message {

    /**
     * Identifies the sender; the first message on a connection.
     *
     * @param entry the sending process
     * @param revision the configuration revision in force at the sender
     */
    record PeerHello(NodeId entry, long revision) implements PeerMessage {}

    /**
     * Forwards a job to the owner of its partition; answered by {@link JobAnswered} or {@link
     * JobMoved}.
     *
     * @param token the number by which the requester matches answers to its requests
     * @param request the job; its deadline is not sent
     * @param remainingMillis the time left until the deadline; relative, because clocks differ
     */
    record SubmitJob(long token, JobRequest request, long remainingMillis) implements PeerMessage {}

    /**
     * Answers a job or a query.
     *
     * @param token the number by which the requester matches answers to its requests
     * @param answer the answer
     */
    record JobAnswered(long token, JobAnswer answer) implements PeerMessage {}

    /**
     * Reports that the sender does not own the partition of a forwarded job; the receiver must
     * route the job again.
     *
     * @param token the number by which the requester matches answers to its requests
     */
    record JobMoved(long token) implements PeerMessage {}

    /**
     * Queries the state of a job; answered by {@link JobAnswered}.
     *
     * @param token the number by which the requester matches answers to its requests
     * @param id the submission id of the job
     * @param service the service that the job's kind belongs to
     */
    record QueryJob(long token, SubmissionId id, String service) implements PeerMessage {}

    /**
     * Cancels a job; not answered.
     *
     * @param id the submission id of the job
     * @param service the service that the job's kind belongs to
     */
    record CancelJob(SubmissionId id, String service) implements PeerMessage {}

    /**
     * The sender's periodic heartbeat.
     *
     * @param revision the configuration revision in force at the sender
     */
    record Heartbeat(long revision) implements PeerMessage {}

    /**
     * Sends a configuration to a peer with an older one.
     *
     * @param revision the revision of the configuration
     * @param head the configuration head published in the store, in JSON
     */
    record ConfigurationPush(long revision, String head) implements PeerMessage {}

    /**
     * Queries the status of the receiving entry.
     *
     * @param token the number by which the requester matches answers to its requests
     */
    record StatusQuery(long token) implements PeerMessage {}

    /**
     * Answers a status query.
     *
     * @param token the number by which the requester matches answers to its requests
     * @param status the status of the sender, in JSON
     */
    record StatusAnswer(long token, String status) implements PeerMessage {}
}
