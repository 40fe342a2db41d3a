package org.jackdawsaddle.internal.message;

import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.JobRequest;
import org.jackdawsaddle.job.SubmissionId;

/** What an entry sends to another entry. */
public sealed interface PeerMessage extends Message {

    /**
     * Introduces the sender.
     *
     * @param entry the sending process
     * @param revision its configuration
     */
    record PeerHello(NodeId entry, long revision) implements PeerMessage {}

    /**
     * Passes a job on to the owner of its partition.
     *
     * @param token the number by which the sender knows the answer
     * @param request the job
     * @param remainingMillis the time left until the deadline; a span, since clocks differ
     */
    record SubmitJob(long token, JobRequest request, long remainingMillis) implements PeerMessage {}

    /**
     * Answers a job or a query.
     *
     * @param token the number by which the sender knows the answer
     * @param answer the answer
     */
    record JobAnswered(long token, JobAnswer answer) implements PeerMessage {}

    /**
     * Tells that the sender no longer owns the partition; the job must be sent to the new owner.
     *
     * @param token the number by which the sender knows the answer
     */
    record JobMoved(long token) implements PeerMessage {}

    /**
     * Asks for the state of a job.
     *
     * @param token the number by which the sender knows the answer
     * @param id the submission
     * @param service the service of its kind
     */
    record QueryJob(long token, SubmissionId id, String service) implements PeerMessage {}

    /**
     * Cancels a job.
     *
     * @param id the submission
     * @param service the service of its kind
     */
    record CancelJob(SubmissionId id, String service) implements PeerMessage {}

    /**
     * Shows that the sender is alive.
     *
     * @param revision the sender's configuration
     */
    record Heartbeat(long revision) implements PeerMessage {}

    /**
     * Passes a configuration on.
     *
     * @param revision its revision
     * @param head the published value, in JSON
     */
    record ConfigurationPush(long revision, String head) implements PeerMessage {}

    /**
     * Asks for the status of the entry.
     *
     * @param token the number by which the sender knows the answer
     */
    record StatusQuery(long token) implements PeerMessage {}

    /**
     * Answers a status query.
     *
     * @param token the number by which the sender knows the answer
     * @param status the status, in JSON
     */
    record StatusAnswer(long token, String status) implements PeerMessage {}
}
