package org.jackdawsaddle.job;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.zip.CRC32C;

/**
 * A job as a caller submits it.
 *
 * @param id the idempotency key by which a resubmission is recognised
 * @param team the team whose quota the job counts against
 * @param kind the name of the job kind
 * @param deadline the time in milliseconds since the epoch by which the answer is needed; 0 if the
 *     caller gave neither a deadline nor a timeout, until the entry has derived it from the timeout
 *     of the job kind
 * @param tasks the tasks, in the order of their answers
 */
public record JobRequest(
        SubmissionId id, String team, String kind, long deadline, List<TaskRequest> tasks) {

    /** Makes an immutable copy of the list of tasks. */
    public JobRequest {
        tasks = List.copyOf(tasks);
    }

    /** Returns a hash that is equal for requests that differ only in id or deadline. */
    public long fingerprint() {
        CRC32C checksum = new CRC32C();
        for (TaskRequest task : tasks) {
            checksum.update(task.payload().getBytes(StandardCharsets.UTF_8));
            checksum.update(0);
        }
        long fieldHash = Objects.hash(team, kind, tasks);
        return fieldHash << Integer.SIZE | checksum.getValue();
    }

    /** Returns a copy of the request with another deadline. */
    public JobRequest withDeadline(long newDeadline) {
        return new JobRequest(id, team, kind, newDeadline, tasks);
    }
}
