package org.jackdawsaddle.internal.message;

import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.pool.Evacuation;
import org.jackdawsaddle.pool.PoolAnswer;
import org.jackdawsaddle.pool.PoolJob;

/**
 * A message between two processes of a pool, an entry and a sidecar or two entries. Every entry
 * places the tasks of its own callers on any target, without coordination with other entries; the
 * sidecars accept or reject each start.
 */
public sealed interface PoolMessage extends Message {

    /**
     * One attempt to run a task.
     *
     * @param task the name of the task, unique among all jobs
     * @param run the number of the attempt, from 1
     */
    record Run(String task, int run) {
        @Override
        public boolean equals(Object other) {
            return other instanceof Run that && run == that.run && task.equals(that.task);
        }

        // The methods that the compiler generates for records are slow as keys of maps.
        @Override
        public int hashCode() {
            return task.hashCode() + run;
        }
    }

    /**
     * A request to start one run.
     *
     * @param run the run
     * @param queue the queue of the task's job
     * @param payload the input of the task
     * @param demand the resources that the task needs
     */
    record StartTask(Run run, String queue, String payload, Demand demand) {}

    /**
     * The state of a run as a sidecar reports it. The ordinals are the wire format: constants are
     * only added at the end.
     */
    enum ReportKind {
        /** The run is on record and has not ended. */
        HELD,
        /** The run completed. */
        DONE,
        /** The run failed, through a fault of the task or of the target. */
        FAILED,
        /**
         * The run ended without a result: it was stopped, its lease expired, its target was lost,
         * or the target no longer lists it.
         */
        ENDED,
        /**
         * The run was not started: free capacity was insufficient, or a run of the task is held.
         */
        NO_ROOM,
        /**
         * The run was not started: the target or its sidecar accepts no new tasks, the task may
         * have crashed the target before, the request was too old, or, in response to {@link
         * Resume}, the run is not on record.
         */
        NOT_SERVING,
        /** The run was not started: the target has seen a higher run of the same task. */
        OUTDATED,
        /** The run was not started: the target refused it or could not be reached. */
        REJECTED,
        /** The run ended without a result, as its target crashed, possibly because of it. */
        CRASHED,
        /**
         * The run may have crashed its target, and may still be active. Sent to every entry, as any
         * of them may get the job next.
         */
        SUSPECTED
    }

    /**
     * The state of one run.
     *
     * @param run the run
     * @param kind the state
     * @param queue the queue of the task's job if the kind is {@code SUSPECTED}, otherwise empty
     */
    record TaskReport(Run run, ReportKind kind, String queue) {
        /** Creates a report without a queue. */
        public TaskReport(Run run, ReportKind kind) {
            this(run, kind, "");
        }
    }

    /**
     * Identifies a sidecar; its first message on a connection, sent once a target is known, and
     * repeated when a new incarnation or another capacity of the target is announced.
     *
     * @param sidecar the sending process
     * @param dataCentre the data centre of the target
     * @param target the id of the target's current incarnation
     * @param service the service that the target runs
     * @param capacity the resources of the target
     * @param labels the labels of the target
     * @param configurationVersion the version of the configuration in force at the sidecar
     * @param evacuationRevision the revision of the evacuation in force at the sidecar
     */
    record Hello(
            NodeId sidecar,
            String dataCentre,
            String target,
            String service,
            Demand capacity,
            List<String> labels,
            long configurationVersion,
            long evacuationRevision)
            implements PoolMessage {}

    /**
     * The free capacity of a target; also sent periodically as a heartbeat. An entry that does not
     * watch the sidecar gets it rarely, unless it has placed runs there.
     *
     * @param free the free part of the target's capacity
     * @param serving whether the target accepts new tasks
     * @param clock the time of sending by the sidecar's clock, in milliseconds since the epoch,
     *     which the entry returns in {@link Start}
     * @param handledStarts the sequence number of the receiver's last {@link Start} that {@code
     *     free} takes into account
     * @param settledStarts the sequence number of the receiver's last {@link Start} up to which no
     *     run may start any more that has not started by now; -1 if one may that was requested on
     *     an earlier connection
     * @param unsettledJobs the jobs that other entries than the receiver have runs of here which
     *     should have ended and may be active: the entry is lost, or a stop is not confirmed in
     *     time
     */
    record Room(
            Demand free,
            boolean serving,
            long clock,
            long handledStarts,
            long settledStarts,
            List<String> unsettledJobs)
            implements PoolMessage {
        /** Returns the same state with other unsettled jobs. */
        public Room withUnsettledJobs(List<String> jobs) {
            return new Room(free, serving, clock, handledStarts, settledStarts, jobs);
        }

        /** Returns the same state with other numbers of the last start orders. */
        public Room withStarts(long handled, long settled) {
            return new Room(free, serving, clock, handled, settled, unsettledJobs);
        }
    }

    /** The states of runs that the receiver has placed at the sender. */
    record TaskReports(List<TaskReport> reports) implements PoolMessage {}

    /**
     * Identifies an entry; its first message on a connection.
     *
     * @param entry the sending process
     * @param addresses the addresses of the entries that the sender knows, as host:port
     */
    record Welcome(NodeId entry, List<String> addresses) implements PoolMessage {}

    /**
     * Requests the start of runs.
     *
     * @param number the sequence number of the request on this connection, from 1
     * @param clock the latest {@link Room#clock} received from the sidecar, from which the sidecar
     *     tells how old the request is
     * @param tasks the runs to start
     */
    record Start(long number, long clock, List<StartTask> tasks) implements PoolMessage {}

    /** Requests that runs be stopped. */
    record Stop(List<Run> runs) implements PoolMessage {}

    /**
     * Lists all runs that the entry believes to be at the sidecar, which reports the state of each
     * and stops the other runs of the entry.
     */
    record Resume(List<Run> runs) implements PoolMessage {}

    /**
     * A heartbeat of an entry, to sidecars and other entries.
     *
     * @param configurationVersion the version of the configuration in force at the sender
     * @param watching whether the sender asks the receiving sidecar to report changes of its free
     *     capacity at once, until a ping says otherwise; false between entries
     * @param evacuationRevision the revision of the evacuation in force at the sender
     * @param load the load of the sender; none in a heartbeat to a sidecar
     */
    record Ping(
            long configurationVersion, boolean watching, long evacuationRevision, EntryLoad load)
            implements PoolMessage {
        /** Creates a heartbeat that tells no load. */
        public Ping(long configurationVersion, boolean watching, long evacuationRevision) {
            this(configurationVersion, watching, evacuationRevision, EntryLoad.UNKNOWN);
        }
    }

    /**
     * Identifies an entry to another one; its first message on a connection.
     *
     * @param entry the sending process
     * @param address the address at which the sender accepts connections, as host:port
     * @param configurationVersion the version of the configuration in force at the sender
     * @param evacuationRevision the revision of the evacuation in force at the sender
     */
    record PeerHello(
            NodeId entry, String address, long configurationVersion, long evacuationRevision)
            implements PoolMessage {}

    /**
     * The addresses of entries that the receiver should connect to.
     *
     * @param addresses the addresses, as host:port
     */
    record Members(List<String> addresses) implements PoolMessage {}

    /**
     * Sends a configuration to a process that has an older one.
     *
     * @param version the version of the configuration
     * @param text the configuration, in JSON
     */
    record ConfigurationPush(long version, String text) implements PoolMessage {}

    /**
     * Asks another entry to answer a job in place of the sender, which passes the answer on to the
     * callers. The receiver abandons the job if the connection is lost or silent for too long.
     *
     * @param number identifies the request on the sender
     * @param job the job, without its deadline: the clocks of both entries differ
     * @param remainingMillis how long its caller still waits, in milliseconds
     */
    record HandOver(long number, PoolJob job, long remainingMillis) implements PoolMessage {}

    /**
     * Answers a {@link HandOver}, on the same connection.
     *
     * @param answer the answer to the job; empty if the receiver declines it, so that it must be
     *     served by the sender
     */
    record HandOverAnswer(long number, Optional<PoolAnswer> answer) implements PoolMessage {}

    /** Tells that no caller waits any more for the answer to a {@link HandOver}. */
    record HandOverCancellation(long number) implements PoolMessage {}

    /**
     * Lists the jobs that the sender has ended and of which a target may still start a run. The
     * receiver must not start their tasks. Replaces the sender's earlier list.
     */
    record UnsettledJobs(List<String> jobs) implements PoolMessage {}

    /** Cancels a job if the receiving entry has it; its caller has asked another entry to. */
    record JobCancellation(String job) implements PoolMessage {}

    /** Sends the evacuated data centres to a process that has reported an older revision. */
    record EvacuationPush(Evacuation evacuation) implements PoolMessage {}
}
