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

/** Remembers what was started here for longer than any id is accepted. */
final class StartedTasks {
    private static final long MAX_BODY_CHARS = 4_000_000;

    private final Map<TaskKey, TaskResult> mKnown = new HashMap<>();
    private final Map<SubmissionId, Set<TaskKey>> mBySubmission = new HashMap<>();
    private final Deque<SubmissionId> mForgetting = new ArrayDeque<>();
    private final Deque<TaskKey> mBodies = new ArrayDeque<>();
    private long mBodyChars;

    Optional<TaskResult> find(TaskKey task) {
        return Optional.ofNullable(mKnown.get(task));
    }

    List<TaskResult> of(SubmissionId id) {
        return mBySubmission.getOrDefault(id, Set.of()).stream().map(mKnown::get).toList();
    }

    int size() {
        return mKnown.size();
    }

    void put(TaskResult result) {
        TaskKey task = result.task();
        if (mKnown.put(task, result) == null) {
            Set<TaskKey> tasks = mBySubmission.get(task.id());
            if (tasks == null) {
                tasks = new HashSet<>(2);
                mBySubmission.put(task.id(), tasks);
                mForgetting.add(task.id());
            }
            tasks.add(task);
        }
        if (!result.body().isEmpty()) {
            mBodies.add(task);
            mBodyChars += result.body().length();
            dropBodies();
        }
    }

    /** Forgets a task that turned out not to have reached the target. */
    void remove(TaskKey task) {
        mKnown.remove(task);
        Optional.ofNullable(mBySubmission.get(task.id())).ifPresent(tasks -> tasks.remove(task));
    }

    /** Drops what belongs to ids that are refused by their age. */
    void forget(long now) {
        long oldest = now - Timing.ID_LIFETIME_MILLIS - 2 * Timing.MAX_CLOCK_SKEW_MILLIS;
        while (!mForgetting.isEmpty() && mForgetting.peek().unixMillis() < oldest) {
            mBySubmission.remove(mForgetting.poll()).forEach(mKnown::remove);
        }
    }

    private void dropBodies() {
        while (mBodyChars > MAX_BODY_CHARS) {
            TaskKey oldest = mBodies.remove();
            TaskResult result = mKnown.get(oldest);
            if (result != null) {
                mBodyChars -= result.body().length();
                mKnown.put(
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
