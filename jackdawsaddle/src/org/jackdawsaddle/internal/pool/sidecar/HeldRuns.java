package org.jackdawsaddle.internal.pool.sidecar;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage.Run;

/** The runs of a target that are not known to have ended, in the order of their start. */
final class HeldRuns {
    private final Map<Run, HeldRun> mRuns = new LinkedHashMap<>();

    /** The demand of all runs; empty after a change of the runs until it is asked for. */
    private Optional<Demand> mUsed = Optional.empty();

    /** The entries that own the runs; empty after a change of the runs until it is asked for. */
    private Optional<Set<NodeId>> mOwners = Optional.empty();

    void add(HeldRun held) {
        mRuns.put(held.mStartTask.run(), held);
        onChanged();
    }

    void remove(HeldRun held) {
        mRuns.remove(held.mStartTask.run());
        onChanged();
    }

    private void onChanged() {
        mUsed = Optional.empty();
        mOwners = Optional.empty();
    }

    /** Returns a run; null if it is not held. */
    HeldRun get(Run run) {
        return mRuns.get(run);
    }

    boolean contains(Run run) {
        return mRuns.containsKey(run);
    }

    boolean isEmpty() {
        return mRuns.isEmpty();
    }

    Set<Run> runs() {
        return mRuns.keySet();
    }

    Collection<HeldRun> values() {
        return mRuns.values();
    }

    /** Returns the demand of all runs. */
    Demand used() {
        if (mUsed.isEmpty()) {
            mUsed =
                    Optional.of(
                            mRuns.values().stream()
                                    .map(held -> held.mStartTask.demand())
                                    .reduce(Demand.NONE, Demand::plus));
        }
        return mUsed.get();
    }

    boolean holdsTask(String task) {
        return mRuns.keySet().stream().anyMatch(run -> run.task().equals(task));
    }

    /**
     * Returns whether any run is left that must end with the lease, which all runs share.
     *
     * @param now in milliseconds since the epoch
     */
    boolean anyMustLapse(long now) {
        return mRuns.values().stream().anyMatch(held -> held.mustLapse(now));
    }

    /** Returns the entries that own the runs. */
    Set<NodeId> owners() {
        if (mOwners.isEmpty()) {
            mOwners =
                    Optional.of(
                            mRuns.values().stream()
                                    .map(held -> held.mOwner)
                                    .collect(Collectors.toUnmodifiableSet()));
        }
        return mOwners.get();
    }

    /** Records that an entry has connected again: it numbers its requests anew. */
    void onConnected(NodeId entry) {
        mRuns.values().stream()
                .filter(held -> held.mOwner.equals(entry))
                .forEach(held -> held.mStartNumber = 0);
    }

    /**
     * Returns the number of an entry's last request up to which no run may start later.
     *
     * @param handled the number of its last request
     */
    long settledStarts(NodeId entry, long handled) {
        return mRuns.values().stream()
                .filter(held -> held.mOwner.equals(entry) && held.mayStartLater())
                .mapToLong(held -> held.mStartNumber - 1)
                .reduce(handled, Math::min);
    }

    /** Returns the ids of the jobs of runs that other entries own. */
    static List<String> jobsOfOthers(NodeId entry, List<HeldRun> runs) {
        if (runs.isEmpty()) {
            return List.of();
        }
        return runs.stream()
                .filter(held -> !held.mOwner.equals(entry))
                .map(HeldRun::job)
                .distinct()
                .toList();
    }

    /**
     * Returns the runs that should have ended: by their entry's state, or as their stop expired.
     */
    List<HeldRun> unsettled(Predicate<NodeId> unsettledEntry, long now) {
        Set<NodeId> unsettledOwners =
                owners().stream().filter(unsettledEntry).collect(Collectors.toSet());
        List<HeldRun> unsettled = new ArrayList<>();
        for (HeldRun held : mRuns.values()) {
            if (now >= held.mStopExpiresAt || unsettledOwners.contains(held.mOwner)) {
                unsettled.add(held);
            }
        }
        return unsettled;
    }
}
