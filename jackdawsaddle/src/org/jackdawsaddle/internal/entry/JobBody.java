package org.jackdawsaddle.internal.entry;

import java.util.List;
import org.jackdawsaddle.errors.RequestInvalidException;
import org.jackdawsaddle.job.TaskRequest;

/**
 * The request body of a job submission.
 *
 * @param team the name of the team
 * @param kind the name of the job kind
 * @param deadline the deadline in milliseconds since the epoch; if 0, {@code timeoutMillis} applies
 * @param timeoutMillis the time from the arrival of the request to the deadline; if 0 too, the
 *     timeout of the job kind applies
 * @param tasks the tasks, which are answered in this order
 */
record JobBody(
        String team, String kind, long deadline, long timeoutMillis, List<TaskRequest> tasks) {

    /**
     * Validates the body, and returns the deadline of the job in milliseconds since the epoch, or 0
     * if the timeout of the job kind applies.
     *
     * @param now the time of arrival in milliseconds since the epoch
     * @throws RequestInvalidException if a field is missing or out of range
     */
    long validatedDeadline(long now) {
        require(team != null, "team: missing");
        require(kind != null, "kind: missing");
        require(tasks != null, "tasks: missing");
        require(timeoutMillis >= 0, "timeoutMillis: must not be negative");
        require(deadline >= 0, "deadline: must not be negative");
        for (int index = 0; index < tasks.size(); index++) {
            TaskRequest task = tasks.get(index);
            require(
                    task != null && task.payload() != null,
                    "tasks.[" + index + "].payload: missing");
            require(
                    task.expectedMillis() >= 0,
                    "tasks.[" + index + "].expectedMillis: must not be negative");
        }
        return deadline > 0 || timeoutMillis == 0 ? deadline : now + timeoutMillis;
    }

    private static void require(boolean condition, String problem) {
        if (!condition) {
            throw new RequestInvalidException(problem);
        }
    }
}
