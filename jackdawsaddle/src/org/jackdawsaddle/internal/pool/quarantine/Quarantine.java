package org.jackdawsaddle.internal.pool.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jackdawsaddle.internal.pool.MixedHash;

/**
 * Limits the harm of tasks that crash the targets which start them. A task under which a third
 * target crashes is given up: targets also crash for other causes, so fewer prove nothing. At the
 * second crash its queue is confined for a while, which does little harm if the task is innocent:
 * its tasks only run on a few targets, the same ones for all entries, and no other queue uses
 * these.
 *
 * <p>A crash makes suspects of all tasks that ran on the target, and most are innocent: a suspect
 * never returns to a target that has crashed under it, and no two suspects of an entry share one.
 */
public final class Quarantine {
    /** How long a queue is confined after the last repeated crash under one of its tasks. */
    private static final long CONFINEMENT_MILLIS = 4_000;

    /** One of so many targets of a service is for confined queues. */
    private static final int TARGETS_PER_MEMBER = 4;

    private final CrashHistory mHistory = new CrashHistory();

    /** Number of repeated crashes under the tasks of each queue since no queue was confined. */
    private final Map<String, Integer> mRepeatedCrashCounts = new HashMap<>();

    /** The confined queue: that with the most repeated crashes. */
    private Optional<String> mConfinedQueue = Optional.empty();

    /** When the confinement ends, in milliseconds since the epoch. */
    private long mConfinedUntil;

    /** The names of the sidecars whose targets are for the confined queue. */
    private Set<String> mMembers = Set.of();

    /** The names of the sidecars of services with too few targets to set any aside. */
    private Set<String> mUndivided = Set.of();

    /**
     * Records that a target may have crashed under a task, and confines the queue of the task if
     * another one has before.
     *
     * @param queue the queue of the task's job
     * @param sidecar the name of the sidecar of that target
     * @return false if this was recorded before
     */
    public boolean recordCrash(String task, String queue, String sidecar, long now) {
        if (mMembers.contains(sidecar)) {
            mConfinedUntil = now + CONFINEMENT_MILLIS;
        }
        if (mHistory.crashedAt(task, sidecar)) {
            return false;
        }
        mHistory.record(task, sidecar, now);
        if (mHistory.repeated(task)) {
            recordRepeatedCrash(queue, now);
        }
        return true;
    }

    /** Confines a queue, unless another one has had more repeated crashes. */
    private void recordRepeatedCrash(String queue, long now) {
        int count = mRepeatedCrashCounts.merge(queue, 1, Integer::sum);
        if (mConfinedQueue.map(mRepeatedCrashCounts::get).orElse(0) <= count) {
            mConfinedQueue = Optional.of(queue);
        }
        mConfinedUntil = now + CONFINEMENT_MILLIS;
    }

    /** Clears a task of suspicion, as a run of it has succeeded. */
    public void recordDone(String task) {
        mHistory.recordDone(task);
    }

    /** Returns how many targets have crashed under a task. */
    public int crashes(String task) {
        return mHistory.crashes(task);
    }

    /** Returns whether a target has crashed under a task that has not succeeded since. */
    public boolean suspected(String task) {
        return mHistory.crashes(task) > 0;
    }

    /** Returns whether so many targets have crashed under a task that it must not run again. */
    public boolean givenUp(String task) {
        return mHistory.givenUp(task);
    }

    /** Returns whether a queue is confined. */
    public boolean confined(String queue) {
        return mConfinedQueue.filter(queue::equals).isPresent();
    }

    /**
     * Chooses the targets for the confined queue.
     *
     * @param sidecars the names of the sidecars of one service in each list
     */
    public void selectMembers(Collection<List<String>> sidecars) {
        Set<String> members = new HashSet<>();
        Set<String> undivided = new HashSet<>();
        for (List<String> service : sidecars) {
            List<String> ranked = new ArrayList<>(service);
            ranked.sort(
                    Comparator.<String>comparingInt(MixedHash::of)
                            .thenComparing(Comparator.naturalOrder()));
            int count = service.size() / TARGETS_PER_MEMBER;
            members.addAll(ranked.subList(0, count));
            if (count == 0) {
                undivided.addAll(service);
            }
        }
        mMembers = members;
        mUndivided = undivided;
    }

    /** Returns whether a task may run on the target of a sidecar. */
    public boolean admits(String task, String queue, String sidecar) {
        return !mHistory.crashedAt(task, sidecar) && admitsQueue(queue, sidecar);
    }

    private boolean admitsQueue(String queue, String sidecar) {
        return mConfinedQueue.isEmpty()
                || mMembers.isEmpty()
                || mUndivided.contains(sidecar)
                || confined(queue) == mMembers.contains(sidecar);
    }

    /** Ends what is over: the confinement, and the memory of crashes. */
    public void onTick(long now) {
        mHistory.evictExpired(now);
        if (mConfinedUntil <= now) {
            mConfinedQueue = Optional.empty();
            mRepeatedCrashCounts.clear();
        }
    }
}
