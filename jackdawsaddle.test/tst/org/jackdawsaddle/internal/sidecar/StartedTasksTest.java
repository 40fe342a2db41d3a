package org.jackdawsaddle.internal.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.jackdawsaddle.internal.message.TaskKey;
import org.jackdawsaddle.internal.message.TaskResult;
import org.jackdawsaddle.job.SubmissionId;
import org.testng.annotations.Test;

/** Tests that {@link StartedTasks} keeps new results in a process that runs long. */
public class StartedTasksTest {
    private static final long START_MILLIS = 1_800_000_000_000L;
    private static final long DAY_SECONDS = 86_400;
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Answers come for so long, and then none for as long, so that all of them expire. */
    private static final long BUSY_SECONDS = 600;

    /** Ids are kept for this long at most: their lifetime and twice the clock skew, rounded up. */
    private static final int MAX_KEPT_SECONDS = 330;

    @Test
    public void keepsNewResultsAfterADayOfExpiredOnes() {
        StartedTasks tasks = new StartedTasks();
        Random random = new Random(1);
        String body = "x".repeat(200);
        for (long second = 0; second < DAY_SECONDS; second++) {
            long now = START_MILLIS + second * MILLIS_PER_SECOND;
            tasks.removeExpired(now);
            if (second / BUSY_SECONDS % 2 == 1) {
                continue;
            }
            TaskKey task = new TaskKey(SubmissionId.create(now, random), 0);
            tasks.put(
                    new TaskResult(
                            task, TaskResult.State.COMPLETED, body, TaskResult.Refusal.NONE, 0));
            assertEquals(tasks.find(task).orElseThrow().body(), body, "second " + second);
        }
        assertTrue(tasks.size() <= MAX_KEPT_SECONDS, "tasks: " + tasks.size());
        assertTrue(
                tasks.retainedBodyCount() <= MAX_KEPT_SECONDS,
                "bodies: " + tasks.retainedBodyCount());
    }
}
