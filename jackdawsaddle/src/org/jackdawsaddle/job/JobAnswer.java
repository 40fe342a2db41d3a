package org.jackdawsaddle.job;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.jackdawsaddle.errors.ErrorCode;

/** The answer to a submission or query of a job: its outcome, or its progress until it ends. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "outcome")
@JsonSubTypes({
    @JsonSubTypes.Type(value = JobAnswer.Complete.class, name = "complete"),
    @JsonSubTypes.Type(value = JobAnswer.NotRun.class, name = "not-run"),
    @JsonSubTypes.Type(value = JobAnswer.Failed.class, name = "failed"),
    @JsonSubTypes.Type(value = JobAnswer.Pending.class, name = "pending")
})
public sealed interface JobAnswer {

    /**
     * Every task succeeded.
     *
     * @param answers one answer for each task, in the order of the request
     */
    record Complete(List<String> answers) implements JobAnswer {
        /** Makes an immutable copy of the answers. */
        public Complete {
            answers = List.copyOf(answers);
        }
    }

    /**
     * The job was not run: no task was started for this submission.
     *
     * @param code why the job was not run
     * @param detail what prevented the run and where
     */
    record NotRun(ErrorCode code, String detail) implements JobAnswer {}

    /**
     * The job failed, and some of its tasks may have run.
     *
     * @param code why the job failed
     * @param detail what failed and where
     */
    record Failed(ErrorCode code, String detail) implements JobAnswer {}

    /**
     * The job has not ended. Only queries get this answer, submissions never do.
     *
     * @param tasksEnded the number of tasks that have ended
     * @param tasks the number of tasks of the job
     */
    record Pending(int tasksEnded, int tasks) implements JobAnswer {}
}
