package org.jackdawsaddle.internal.message;

import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.job.SubmissionId;

/** What an entry sends to a sidecar. */
public sealed interface EntryMessage extends Message {

    /**
     * Answers a hello.
     *
     * @param entry the sending process
     * @param entryAddresses where all live entries listen, as host:port
     */
    record Welcome(NodeId entry, List<String> entryAddresses) implements EntryMessage {
        /** Copies the list. */
        public Welcome {
            entryAddresses = List.copyOf(entryAddresses);
        }
    }

    /**
     * Asks to start tasks.
     *
     * @param partition the index of the partition
     * @param epoch the number of the ownership
     * @param tasks the tasks
     */
    record StartTasks(int partition, long epoch, List<StartTask> tasks) implements EntryMessage {
        /** Copies the list. */
        public StartTasks {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * Asks to stop tasks, and never to start them.
     *
     * @param partition the index of the partition
     * @param epoch the number of the ownership
     * @param tasks the tasks
     */
    record StopTasks(int partition, long epoch, List<TaskKey> tasks) implements EntryMessage {
        /** Copies the list. */
        public StopTasks {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * Asks to refuse starts of earlier epochs.
     *
     * @param partition the index of the partition
     * @param epoch the number of the ownership
     */
    record Seal(int partition, long epoch) implements EntryMessage {}

    /**
     * Tells a leaving sidecar that nothing depends on its memory any more.
     *
     * @param partition the index of the partition
     * @param epoch the number of the ownership
     */
    record Release(int partition, long epoch) implements EntryMessage {}

    /**
     * Asks to confirm that no higher epoch has sealed the partition.
     *
     * @param partition the index of the partition
     * @param epoch the number of the ownership
     * @param sentAt the entry's clock, in milliseconds
     */
    record RenewLease(int partition, long epoch, long sentAt) implements EntryMessage {}

    /**
     * Asks what was started of submissions.
     *
     * @param partition the index of the partition
     * @param epoch the number of the ownership
     * @param number tells the answers apart
     * @param submissions the submissions in question
     */
    record Inquiry(int partition, long epoch, long number, List<SubmissionId> submissions)
            implements EntryMessage {
        /** Copies the list. */
        public Inquiry {
            submissions = List.copyOf(submissions);
        }
    }

    /**
     * What the configuration says of one target.
     *
     * @param revision the revision
     * @param drained whether the target takes no new work
     * @param slots the most tasks at a time, 0 for no such limit
     */
    record TargetConfiguration(long revision, boolean drained, int slots) implements EntryMessage {}
}
