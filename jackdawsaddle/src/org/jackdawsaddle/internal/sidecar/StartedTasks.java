package org.jackdawsaddle.internal.sidecar;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jackdawsaddle.internal.dispatch.Timing;
import org.jackdawsaddle.internal.message.TaskKey;
import org.jackdawsaddle.internal.message.TaskResult;
import org.jackdawsaddle.job.SubmissionId;

/**
 * The results of all tasks that this sidecar has started, or was told to stop before they started.
 * They show which start requests are duplicates, or come after a stop.
 *
 * <p>A task stays on record until its submission id is too old to be accepted. Answers are evicted,
 * oldest first, when their total size exceeds a limit; the task itself stays on record.
 */
final class StartedTasks {
    private static final long MAX_TOTAL_BODY_CHARS = 4_000_000;

    private final Map<TaskKey, TaskResult> mResults = new HashMap<>();
    private final Map<SubmissionId, Set<TaskKey>> mTasksBySubmission = new HashMap<>();
    private final Deque<SubmissionId> mExpiryQueue = new ArrayDeque<>();
    private final Deque<TaskKey> mEvictionQueue = new ArrayDeque<>();
    private long mTotalBodyChars;

    Optional<TaskResult> find(TaskKey task) {
        return Optional.ofNullable(mResults.get(task));
    }

    List<TaskResult> findBySubmission(SubmissionId id) {
        return mTasksBySubmission.getOrDefault(id, Set.of()).stream().map(mResults::get).toList();
    }

    /** Returns the number of tasks in the order in which their answers are evicted. */
    int retainedBodyCount() {
        return mEvictionQueue.size();
    }

    int size() {
        return mResults.size();
    }

    void put(TaskResult result) {
        TaskKey task = result.task();
        TaskResult previous = mResults.put(task, result);
        if (previous != null) {
            mTotalBodyChars -= previous.body().length();
        } else {
            Set<TaskKey> tasks = mTasksBySubmission.get(task.id());
            if (tasks == null) {
                tasks = new HashSet<>(2);
                mTasksBySubmission.put(task.id(), tasks);
                mExpiryQueue.add(task.id());
            }
            tasks.add(task);
        }
        if (!result.body().isEmpty()) {
            mEvictionQueue.add(task);
            mTotalBodyChars += result.body().length();
            evictBodies();
        }
    }

    /** Removes a task that did not reach the target, so that a later start is not a duplicate. */
    void remove(TaskKey task) {
        removeResult(task);
        Optional.ofNullable(mTasksBySubmission.get(task.id()))
                .ifPresent(tasks -> tasks.remove(task));
    }

    /**
     * Removes the tasks of ids that are refused because of their age.
     *
     * @param now the current time in milliseconds since the epoch
     */
    void removeExpired(long now) {
        long oldestKeptMillis = now - Timing.ID_LIFETIME_MILLIS - 2 * Timing.MAX_CLOCK_SKEW_MILLIS;
        while (!mExpiryQueue.isEmpty() && mExpiryQueue.peek().unixMillis() < oldestKeptMillis) {
            mTasksBySubmission.remove(mExpiryQueue.poll()).forEach(this::removeResult);
        }
        while (!mEvictionQueue.isEmpty() && !mResults.containsKey(mEvictionQueue.peek())) {
            mEvictionQueue.remove();
        }
    }

    private void removeResult(TaskKey task) {
        TaskResult removed = mResults.remove(task);
        if (removed != null) {
            mTotalBodyChars -= removed.body().length();
        }
    }

    private void evictBodies() {
        while (mTotalBodyChars > MAX_TOTAL_BODY_CHARS) {
            TaskKey oldest = mEvictionQueue.remove();
            TaskResult result = mResults.get(oldest);
            if (result != null) {
                mTotalBodyChars -= result.body().length();
                mResults.put(
                        oldest,
                        new TaskResult(
                                oldest,
                                TaskResult.State.FORGOTTEN,
                                "",
                                result.refusal(),
                                result.runMicros()));
            }
        }
    }
}
