package org.jackdawsaddle.internal.message;

import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.job.SubmissionId;

/** A message from an entry to a sidecar; {@link Welcome} is also sent to peers. */
public sealed interface EntryMessage extends Message {

    /**
     * Identifies the sender; its first message on a connection that it has accepted, from a sidecar
     * or a peer. To a sidecar it is repeated with the addresses of all entries once the sidecar has
     * identified itself and whenever they change.
     *
     * @param entry the sending process
     * @param entryAddresses the addresses of all live entries, as host:port; empty in the first
     *     message
     */
    record Welcome(NodeId entry, List<String> entryAddresses) implements EntryMessage {
        /** Makes a defensive copy of the list. */
        public Welcome {
            entryAddresses = List.copyOf(entryAddresses);
        }
    }

    /**
     * Requests the start of tasks.
     *
     * @param partition the index of the partition
     * @param epoch the epoch of the sender's ownership, which serves as fencing token
     * @param tasks the tasks to start
     */
    record StartTasks(int partition, long epoch, List<StartTask> tasks) implements EntryMessage {
        /** Makes a defensive copy of the list. */
        public StartTasks {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * Requests that tasks be stopped, and that those not started yet never be started. Ignored if
     * the epoch is not in force at the sidecar.
     *
     * @param partition the index of the partition
     * @param epoch the epoch of the sender's ownership, which serves as fencing token
     * @param tasks the tasks to stop
     */
    record StopTasks(int partition, long epoch, List<TaskKey> tasks) implements EntryMessage {
        /** Makes a defensive copy of the list. */
        public StopTasks {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * Makes the sender the owner of the partition at the sidecar, unless a higher epoch has sealed
     * it, and fences earlier epochs: their starts are refused from then on.
     *
     * @param partition the index of the partition
     * @param epoch the epoch of the sender's ownership, which serves as fencing token
     */
    record Seal(int partition, long epoch) implements EntryMessage {}

    /**
     * Tells a leaving sidecar that the owner no longer needs its record of started tasks. Ignored
     * if the epoch is not in force at the sidecar.
     *
     * @param partition the index of the partition
     * @param epoch the epoch of the sender's ownership, which serves as fencing token
     */
    record Release(int partition, long epoch) implements EntryMessage {}

    /**
     * Renews the lease of an owner; the answer shows whether a higher epoch has sealed the
     * partition.
     *
     * @param partition the index of the partition
     * @param epoch the epoch of the sender's ownership, which serves as fencing token
     * @param sentAt the time of sending by the entry's clock, in milliseconds since the epoch
     */
    record RenewLease(int partition, long epoch, long sentAt) implements EntryMessage {}

    /**
     * Asks which tasks of some submissions are on record at the sidecar.
     *
     * @param partition the index of the partition
     * @param epoch the epoch of the sender's ownership; the sidecar answers whatever the epoch
     * @param number the sequence number by which the sender matches the answer to this inquiry
     * @param submissions the submissions in question
     */
    record Inquiry(int partition, long epoch, long number, List<SubmissionId> submissions)
            implements EntryMessage {
        /** Makes a defensive copy of the list. */
        public Inquiry {
            submissions = List.copyOf(submissions);
        }
    }

    /**
     * The configuration of the sidecar's target; ignored if the sidecar has the same or a higher
     * revision.
     *
     * @param revision the configuration revision
     * @param drained whether the target is to refuse new tasks
     * @param slots the maximum number of concurrent tasks, or 0 for no configured limit
     */
    record TargetConfiguration(long revision, boolean drained, int slots) implements EntryMessage {}
}
