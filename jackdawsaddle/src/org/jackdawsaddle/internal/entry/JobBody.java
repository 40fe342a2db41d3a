package org.jackdawsaddle.internal.entry;

import java.util.List;
import org.jackdawsaddle.errors.RequestInvalidException;
import org.jackdawsaddle.job.TaskRequest;

/**
 * A job as callers write it.
 *
 * @param team the team
 * @param kind the job kind
 * @param deadline the deadline in milliseconds since the epoch, or 0 for that of the kind
 * @param timeoutMillis the same as a span from the arrival, or 0
 * @param tasks the tasks
 */
record JobBody(
        String team, String kind, long deadline, long timeoutMillis, List<TaskRequest> tasks) {

    /**
     * Returns the deadline for a job that arrives now.
     *
     * @throws RequestInvalidException if a field is missing or out of its range
     */
    long validatedDeadline(long now) {
        require(team != null, "team: missing");
        require(kind != null, "kind: missing");
        require(tasks != null, "tasks: missing");
        require(timeoutMillis >= 0, "timeoutMillis: is negative");
        require(deadline >= 0, "deadline: is negative");
        for (int index = 0; index < tasks.size(); index++) {
            TaskRequest task = tasks.get(index);
            require(
                    task != null && task.payload() != null,
                    "tasks.[" + index + "].payload: missing");
            require(
                    task.expectedMillis() >= 0,
                    "tasks.[" + index + "].expectedMillis: is negative");
        }
        return deadline > 0 || timeoutMillis == 0 ? deadline : now + timeoutMillis;
    }

    private static void require(boolean condition, String problem) {
        if (!condition) {
            throw new RequestInvalidException(problem);
        }
    }
}
