package org.jackdawsaddle.job;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.zip.CRC32C;

/**
 * A job as a caller submits it.
 *
 * @param id the identity under which a resubmission is recognised
 * @param team the team whose quota it uses
 * @param kind the name of the job kind
 * @param deadline the time in milliseconds since the epoch after which the answer is of no use
 * @param tasks the tasks, in the order of their answers
 */
public record JobRequest(
        SubmissionId id, String team, String kind, long deadline, List<TaskRequest> tasks) {

    /** Copies the list of tasks. */
    public JobRequest {
        tasks = List.copyOf(tasks);
    }

    /** Returns a number that requests for the same work share, whatever their deadlines. */
    public long fingerprint() {
        CRC32C checksum = new CRC32C();
        for (TaskRequest task : tasks) {
            checksum.update(task.payload().getBytes(StandardCharsets.UTF_8));
            checksum.update(0);
        }
        long fieldHash = Objects.hash(team, kind, tasks);
        return fieldHash << Integer.SIZE | checksum.getValue();
    }

    /** Returns the same request with another deadline. */
    public JobRequest withDeadline(long newDeadline) {
        return new JobRequest(id, team, kind, newDeadline, tasks);
    }
}
