package org.jackdawsaddle.internal.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Decides which sidecars an entry watches. A watched sidecar reports changes of its free capacity
 * at once, the others only rarely, so that the messages of a task do not grow with the number of
 * entries and sidecars.
 *
 * <p>Without jobs an entry watches none. Otherwise it watches a subset of the sidecars of each
 * service, whose size follows the entry's share of them; more while tasks find no free capacity;
 * and all that could run a waiting task if no watched one could.
 */
final class WatchController {
    /** The least number of sidecars of each service to watch, if there are as many. */
    private static final int MIN_WATCHED = 12;

    /** How many times its share of the sidecars an entry watches. */
    private static final int SHARES_WATCHED = 2;

    /** How many times as many it watches while tasks find no free capacity. */
    private static final int SHORTAGE_FACTOR = 2;

    /** How long sidecars are watched after the latest job was admitted. */
    private static final long ACTIVE_MILLIS = 2_000;

    /** For how long more sidecars are watched after a task has found no free capacity. */
    private static final long SHORTAGE_MILLIS = 1_000;

    private final PoolEntryState mState;
    private final Placement mPlacement;
    private final SidecarRanking mRanking;
    private boolean mWatching;

    /** Whether the shortage factor applied at the latest update. */
    private boolean mShort;

    /** Whether sidecars were watched beyond the first ones, for a task. */
    private boolean mExtended;

    /** In milliseconds since the epoch. */
    private long mShortageUntil;

    /** The version of the pool's members for which {@link #mRanked} was computed. */
    private long mRankedVersion = -1;

    /** The connected sidecars of each service, those to watch first at the front. */
    private List<List<SidecarView>> mRanked = List.of();

    /**
     * Creates a controller that watches no sidecar.
     *
     * @param name the name of the entry
     */
    WatchController(PoolEntryState state, Placement placement, String name) {
        mState = state;
        mPlacement = placement;
        mRanking = new SidecarRanking(name);
    }

    /** Returns whether the entry watches sidecars. */
    boolean watching() {
        return mWatching;
    }

    /** Watches other sidecars if the jobs, the free capacity or the pool's members ask for it. */
    void update() {
        if (mState.mWaitingTask.isPresent()) {
            mShortageUntil = mState.mNow + SHORTAGE_MILLIS;
        }
        boolean watching =
                !mState.mJobs.isEmpty() || mState.mNow - mState.mLastAdmittedAt < ACTIVE_MILLIS;
        boolean shortage = mState.mNow < mShortageUntil;
        boolean changed =
                watching != mWatching
                        || shortage != mShort
                        || mRankedVersion != mState.mMembersVersion
                        || mExtended;
        mWatching = watching;
        mShort = shortage;
        if (mRankedVersion != mState.mMembersVersion) {
            mRankedVersion = mState.mMembersVersion;
            mRanked = rank();
            mState.mPreferredSidecars = preferred();
            mState.mQuarantine.selectMembers(mRanked.stream().map(WatchController::names).toList());
        }
        if (changed) {
            mExtended = false;
            mRanked.forEach(this::watchFirst);
        }
        mState.mWaitingTask.ifPresent(this::watchForTask);
        mState.mWaitingTask = Optional.empty();
    }

    private List<List<SidecarView>> rank() {
        Collection<List<SidecarView>> services =
                mState.mSidecars.values().stream()
                        .filter(sidecar -> sidecar.mConnected)
                        .collect(Collectors.groupingBy(sidecar -> sidecar.mHello.service()))
                        .values();
        List<List<SidecarView>> ranked = new ArrayList<>();
        services.forEach(service -> ranked.add(mRanking.rank(service, mState.mPeerNames)));
        return ranked;
    }

    private static List<String> names(List<SidecarView> sidecars) {
        return sidecars.stream().map(sidecar -> sidecar.node().name()).toList();
    }

    private List<SidecarView> preferred() {
        return mRanked.stream()
                .flatMap(ranked -> ranked.stream().limit(watchedCount(ranked.size())))
                .toList();
    }

    private void watchFirst(List<SidecarView> ranked) {
        int factor = mShort ? SHORTAGE_FACTOR : 1;
        int count = mWatching ? factor * watchedCount(ranked.size()) : 0;
        for (int rank = 0; rank < ranked.size(); rank++) {
            watch(ranked.get(rank), rank < count);
        }
    }

    private int watchedCount(int sidecars) {
        int entries = 1 + mState.mPeerNames.size();
        int count = Math.max(MIN_WATCHED, Math.ceilDiv(SHARES_WATCHED * sidecars, entries));
        return count;
    }

    /** Watches all sidecars that could run a task if no watched one could. */
    private void watchForTask(TaskState task) {
        List<SidecarView> candidates =
                mState.mSidecars.values().stream()
                        .filter(SidecarView::serving)
                        .filter(sidecar -> Placement.couldRun(task.mJob, task.mStep, sidecar))
                        .filter(sidecar -> mPlacement.admitted(task, sidecar))
                        .toList();
        if (candidates.stream().noneMatch(SidecarView::watched)) {
            mExtended = true;
            candidates.forEach(sidecar -> watch(sidecar, true));
        }
    }

    private void watch(SidecarView sidecar, boolean watched) {
        if (sidecar.mConnected && sidecar.watched() != watched) {
            sidecar.watch(watched, mState.mNow);
            mState.ping(sidecar);
        }
    }
}
