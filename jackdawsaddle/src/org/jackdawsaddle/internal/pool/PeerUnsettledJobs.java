package org.jackdawsaddle.internal.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jackdawsaddle.NodeId;

/**
 * The jobs that other entries have ended and of which a target may still start a run. This entry
 * may not reach the sidecar that holds the run, so that only those entries can tell.
 */
final class PeerUnsettledJobs {
    /** The latest list of one entry, and when it was received, in milliseconds since the epoch. */
    private record JobList(Set<String> jobs, long receivedAt) {}

    private final Map<NodeId, JobList> mLists = new HashMap<>();

    /** Replaces the list of an entry. */
    void onReceived(NodeId entry, List<String> jobs, long now) {
        if (jobs.isEmpty()) {
            mLists.remove(entry);
        } else {
            mLists.put(entry, new JobList(Set.copyOf(jobs), now));
        }
    }

    /** Adds the jobs to a set; leaves out lists so old that the orders have expired. */
    void addTo(Set<String> unsettled, long now) {
        mLists.values().removeIf(list -> now - list.receivedAt() > PoolTiming.ORDER_EXPIRY_MILLIS);
        mLists.values().forEach(list -> unsettled.addAll(list.jobs()));
    }
}
