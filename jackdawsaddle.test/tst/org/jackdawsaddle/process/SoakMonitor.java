package org.jackdawsaddle.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.jackdawsaddle.standin.platform.PlatformFixture;
import org.jackdawsaddle.standin.platform.WorkerStandIn;

/** Polls the runs of all workers for violations of the system's invariants. */
final class SoakMonitor {
    private static final long POLL_INTERVAL_MILLIS = 2;
    private static final double CORES_TOLERANCE = 1e-6;

    private final List<WorkerStandIn> mWorkers;
    private final Set<String> mViolations = ConcurrentHashMap.newKeySet();
    private volatile boolean mStopping;

    SoakMonitor(List<WorkerStandIn> workers) {
        mWorkers = workers;
    }

    void start() {
        Thread.ofPlatform().daemon().name("soak-watch").start(this::run);
    }

    void stop() {
        mStopping = true;
    }

    /** Returns the violations seen so far. */
    List<String> violations() {
        return List.copyOf(mViolations);
    }

    private void run() {
        while (!mStopping) {
            check();
            ProcessFleet.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private void check() {
        Map<String, WorkerStandIn> seen = new HashMap<>();
        for (WorkerStandIn worker : mWorkers) {
            if (worker.usedCores() > PlatformFixture.WORKER_CORES + CORES_TOLERANCE) {
                mViolations.add("the runs on a worker use more cores than it has");
            }
            for (String task : worker.runningTasks()) {
                WorkerStandIn other = seen.putIfAbsent(task, worker);
                // The run on the other worker may have ended since it was read.
                if (other != null && other.runningTasks().contains(task)) {
                    mViolations.add("concurrent runs of " + task);
                }
            }
        }
    }

    /** Returns all tasks that any worker has started. */
    Set<String> startedTasks() {
        Set<String> tasks = new HashSet<>();
        mWorkers.forEach(worker -> tasks.addAll(worker.startedTasks()));
        return tasks;
    }

    /** Returns whether no worker runs a task. */
    boolean idle() {
        return mWorkers.stream().allMatch(worker -> worker.runningTasks().isEmpty());
    }
}
