package org.jackdawsaddle.internal.message;

import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;

/** What a sidecar sends to an entry. */
public sealed interface SidecarMessage extends Message {

    /**
     * Announces a target; sent on connecting and at every change.
     *
     * @param sidecar the sending process
     * @param target the target's name
     * @param service the service that the target runs
     * @param dataCentre where the target stands
     * @param slots the most tasks at a time
     * @param connections the most connections that the target accepts
     * @param capacity what the machine has
     * @param serving whether the target takes new work
     * @param startedAt the sidecar's start, in milliseconds since the epoch
     * @param revision the configuration that the sidecar applies
     * @param leaving whether the process waits to be released so that it can end
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
     * Tells what became of tasks.
     *
     * @param partition the index of the partition
     * @param results the results
     */
    record TaskResults(int partition, List<TaskResult> results) implements SidecarMessage {
        /** Copies the list. */
        public TaskResults {
            results = List.copyOf(results);
        }
    }

    /**
     * Confirms that starts of earlier epochs are refused from now on.
     *
     * @param partition the index of the partition
     * @param epoch the highest epoch that sealed the partition here
     * @param newestIdMillis the newest timestamp among the ids ever started here for the partition
     * @param newestRenewal the newest time in a renewal that was confirmed here for the partition
     */
    record Sealed(int partition, long epoch, long newestIdMillis, long newestRenewal)
            implements SidecarMessage {}

    /**
     * Confirms a lease, or tells of a higher epoch.
     *
     * @param partition the index of the partition
     * @param epoch the highest epoch that sealed the partition here
     * @param sentAt the time in the renewal
     */
    record LeaseRenewed(int partition, long epoch, long sentAt) implements SidecarMessage {}

    /**
     * Lists what is known of the submissions in question.
     *
     * @param partition the index of the partition
     * @param number the number of the inquiry
     * @param known all tasks that were started here
     */
    record InquiryAnswer(int partition, long number, List<TaskResult> known)
            implements SidecarMessage {
        /** Copies the list. */
        public InquiryAnswer {
            known = List.copyOf(known);
        }
    }

    /**
     * Confirms a revision.
     *
     * @param revision the revision in force
     */
    record ConfigurationApplied(long revision) implements SidecarMessage {}
}
