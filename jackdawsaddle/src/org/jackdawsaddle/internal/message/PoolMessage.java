package org.jackdawsaddle.internal.message;

import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;

/**
 * A message between entries and sidecars of a pool. In a pool every entry places the tasks of its
 * own callers on any target, without coordination with other entries; the sidecars accept or reject
 * each start.
 */
public sealed interface PoolMessage extends Message {

    /**
     * One attempt to run a task.
     *
     * @param task the name of the task, unique among all jobs
     * @param run the number of the attempt, from 1
     */
    record Run(String task, int run) {}

    /** A request to start one run. */
    record StartTask(Run run, String payload, Demand demand) {}

    /** The state of a run as a sidecar reports it. */
    enum ReportKind {
        /** The run is on record and has not ended. */
        HELD,
        /** The run completed. */
        DONE,
        /** The run failed, through a fault of the task or of the target. */
        FAILED,
        /**
         * The run ended without a result: it was stopped, its lease expired, or its target was
         * lost.
         */
        ENDED,
        /** The run was not started: free capacity was insufficient. */
        NO_ROOM,
        /** The run was not started: the target accepts no tasks at present. */
        NOT_SERVING,
        /** The run was not started: the target has seen a higher run of the same task. */
        OUTDATED,
        /** The run was not started: the target rejected it. */
        REJECTED
    }

    /** The state of one run. */
    record TaskReport(Run run, ReportKind kind) {}

    /**
     * Identifies a sidecar; its first message on a connection, repeated when its target changes.
     */
    record Hello(
            NodeId sidecar,
            String dataCentre,
            String target,
            String service,
            Demand capacity,
            List<String> labels,
            long configurationVersion)
            implements PoolMessage {}

    /**
     * The free capacity of a target; also sent periodically as a heartbeat.
     *
     * @param free the free part of the target's capacity
     * @param serving whether the target accepts new tasks
     * @param clock the sidecar's clock, which the entry returns in {@link Start}
     * @param handledStarts the number of the receiver's last {@link Start} that {@code free} takes
     *     into account
     * @param orphanedJobs the jobs whose entry is lost but whose tasks may still run here
     */
    record Room(
            Demand free, boolean serving, long clock, long handledStarts, List<String> orphanedJobs)
            implements PoolMessage {}

    /** The states of runs that the receiver has placed at the sender. */
    record TaskReports(List<TaskReport> reports) implements PoolMessage {}

    /**
     * Identifies an entry; its first message on a connection, repeated when it learns of others.
     */
    record Welcome(NodeId entry, List<String> addresses) implements PoolMessage {}

    /**
     * Requests the start of runs.
     *
     * @param number the sequence number of the request on this connection, from 1
     * @param clock the latest clock reading received from the sidecar, by which the sidecar tells
     *     how old the request is
     */
    record Start(long number, long clock, List<StartTask> tasks) implements PoolMessage {}

    /** Requests that runs be stopped. */
    record Stop(List<Run> runs) implements PoolMessage {}

    /**
     * Lists all runs that the entry believes to be at the sidecar, which reports the state of each.
     */
    record Resume(List<Run> runs) implements PoolMessage {}

    /** Heartbeat of the sender. */
    record Ping(long configurationVersion) implements PoolMessage {}

    /** Identifies an entry to another one; the first message on a connection. */
    record PeerHello(NodeId entry, String address, long configurationVersion)
            implements PoolMessage {}

    /** The addresses of all entries that the sender believes to be alive. */
    record Members(List<String> addresses) implements PoolMessage {}

    /** Sends a configuration to a process that has an older one. */
    record ConfigurationPush(long version, String text) implements PoolMessage {}
}
