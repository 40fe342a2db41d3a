package org.jackdawsaddle.internal.pool.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The tasks that ran on a target when it crashed, as the sidecars report them to every entry. All
 * of them are suspects, as any may have caused the crash, until a run of them succeeds.
 */
final class CrashHistory {
    /** A task under which so many targets have crashed is given up. */
    private static final int MAX_CRASHES = 3;

    /**
     * After so many crashes under one task it is likely, though not certain, that it causes them.
     */
    private static final int MIN_REPEATED_CRASHES = 2;

    private static final long RETENTION_MILLIS = 30_000;

    /** The crashes under one task. */
    private static final class Suspect {
        final Set<String> mSidecars = new HashSet<>();

        /** When the task is forgotten, in milliseconds since the epoch. */
        long mExpiresAt;
    }

    private final Map<String, Suspect> mSuspects = new HashMap<>();

    /**
     * Records that a target has crashed under a task; again for the same sidecar has no effect.
     *
     * @param sidecar the name of the sidecar of that target
     */
    void record(String task, String sidecar, long now) {
        Suspect suspect = mSuspects.computeIfAbsent(task, name -> new Suspect());
        suspect.mExpiresAt = now + RETENTION_MILLIS;
        suspect.mSidecars.add(sidecar);
    }

    /** Returns how many targets have crashed under a task. */
    int crashes(String task) {
        Suspect suspect = mSuspects.get(task);
        return suspect == null ? 0 : suspect.mSidecars.size();
    }

    /** Returns whether a task is likely to be the cause of crashes. */
    boolean repeated(String task) {
        return crashes(task) >= MIN_REPEATED_CRASHES;
    }

    /** Returns whether a task must not run again. */
    boolean givenUp(String task) {
        return crashes(task) >= MAX_CRASHES;
    }

    /** Returns whether a target has crashed under a task. */
    boolean crashedAt(String task, String sidecar) {
        Suspect suspect = mSuspects.get(task);
        return suspect != null && suspect.mSidecars.contains(sidecar);
    }

    /** Clears a task of suspicion, as a run of it has succeeded. */
    void recordDone(String task) {
        mSuspects.remove(task);
    }

    void evictExpired(long now) {
        mSuspects.values().removeIf(suspect -> suspect.mExpiresAt <= now);
    }
}
