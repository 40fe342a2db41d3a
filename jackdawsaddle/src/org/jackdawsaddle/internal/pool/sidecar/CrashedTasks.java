package org.jackdawsaddle.internal.pool.sidecar;

import java.util.List;
import org.jackdawsaddle.internal.collection.BoundedMap;
import org.jackdawsaddle.internal.message.PoolMessage.TaskReport;

/**
 * The tasks that ran on the target when it crashed. The sidecar tells every entry of them and
 * starts none of them again, so that a task keeps its history when its job comes to another entry.
 */
final class CrashedTasks {
    private static final int MAX_TASKS = 1_000;
    private static final long RETENTION_MILLIS = 30_000;

    private record Crash(TaskReport report, long expiresAt) {}

    /** By task; the oldest are forgotten first. */
    private final BoundedMap<String, Crash> mCrashes = new BoundedMap<>(MAX_TASKS);

    void add(TaskReport report, long now) {
        String task = report.run().task();
        mCrashes.putLast(task, new Crash(report, now + RETENTION_MILLIS));
    }

    boolean contains(String task) {
        return mCrashes.containsKey(task);
    }

    void evictExpired(long now) {
        mCrashes.values().removeIf(crash -> crash.expiresAt() <= now);
    }

    /** Returns a report on each of the tasks. */
    List<TaskReport> reports() {
        return mCrashes.values().stream().map(Crash::report).toList();
    }
}
