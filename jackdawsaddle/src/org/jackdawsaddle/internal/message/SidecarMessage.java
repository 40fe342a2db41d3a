package org.jackdawsaddle.internal.message;

import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;

/** A message from a sidecar to an entry. */
public sealed interface SidecarMessage extends Message {

    /**
     * Describes the sidecar and its target; sent on connecting, if the target has announced itself
     * before, and after each change except one of {@code connections} or {@code revision} alone.
     *
     * @param sidecar the sending process
     * @param target the target's name
     * @param service the service that the target runs
     * @param dataCentre the data centre of the target
     * @param slots the maximum number of concurrent tasks
     * @param connections the maximum number of connections that the target accepts
     * @param capacity the resources of the target's machine
     * @param serving whether the announcement of the target is valid and the process is not
     *     leaving; a drained target may be serving
     * @param startedAt the start of the sending process, in milliseconds since the epoch
     * @param revision the configuration revision in force at the sidecar
     * @param leaving whether the process is shutting down and waits for {@link
     *     EntryMessage.Release}
     */
    record SidecarHello(
            NodeId sidecar,
            String target,
            String service,
            String dataCentre,
            int slots,
            int connections,
            Demand capacity,
            boolean serving,
            long startedAt,
            long revision,
            boolean leaving)
            implements SidecarMessage {}

    /**
     * Reports the results of tasks, including refused starts.
     *
     * @param partition the index of the partition
     * @param results the results
     */
    record TaskResults(int partition, List<TaskResult> results) implements SidecarMessage {
        /** Makes a defensive copy of the list. */
        public TaskResults {
            results = List.copyOf(results);
        }
    }

    /**
     * Answers a {@link EntryMessage.Seal}: starts of other epochs than the given one are refused
     * from now on.
     *
     * @param partition the index of the partition
     * @param epoch the highest epoch that sealed the partition here
     * @param newestIdMillis the latest timestamp of any submission id started here for the
     *     partition, in milliseconds since the epoch, or 0 if there is none
     * @param newestRenewal the latest {@code sentAt} of any renewal confirmed here for the
     *     partition, in milliseconds since the epoch by the clock of its sender, or 0 if there is
     *     none
     */
    record Sealed(int partition, long epoch, long newestIdMillis, long newestRenewal)
            implements SidecarMessage {}

    /**
     * Answers a {@link EntryMessage.RenewLease}: confirms the lease if the epoch is that of the
     * renewal.
     *
     * @param partition the index of the partition
     * @param epoch the highest epoch that sealed the partition here
     * @param sentAt the {@code sentAt} of the renewal, unchanged
     */
    record LeaseRenewed(int partition, long epoch, long sentAt) implements SidecarMessage {}

    /**
     * Answers an {@link EntryMessage.Inquiry}.
     *
     * @param partition the index of the partition
     * @param number the sequence number of the inquiry
     * @param known the tasks of the submissions that are on record here, with their results
     */
    record InquiryAnswer(int partition, long number, List<TaskResult> known)
            implements SidecarMessage {
        /** Makes a defensive copy of the list. */
        public InquiryAnswer {
            known = List.copyOf(known);
        }
    }

    /**
     * Acknowledges a {@link EntryMessage.TargetConfiguration}.
     *
     * @param revision the configuration revision now in force
     */
    record ConfigurationApplied(long revision) implements SidecarMessage {}
}
