package org.jackdawsaddle.job;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.jackdawsaddle.errors.ErrorCode;

/** The one answer to a job. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "outcome")
@JsonSubTypes({
    @JsonSubTypes.Type(value = JobAnswer.Complete.class, name = "complete"),
    @JsonSubTypes.Type(value = JobAnswer.NotRun.class, name = "not-run"),
    @JsonSubTypes.Type(value = JobAnswer.Failed.class, name = "failed"),
    @JsonSubTypes.Type(value = JobAnswer.Pending.class, name = "pending")
})
public sealed interface JobAnswer {

    /**
     * Every task ended well.
     *
     * @param answers one answer for each task, in the order of the request
     */
    record Complete(List<String> answers) implements JobAnswer {
        /** Copies the answers. */
        public Complete {
            answers = List.copyOf(answers);
        }
    }

    /**
     * No task of the job was started.
     *
     * @param code why it was refused
     * @param detail the place and nature of this refusal
     */
    record NotRun(ErrorCode code, String detail) implements JobAnswer {}

    /**
     * The job gives no whole answer, and some of its tasks may have run.
     *
     * @param code why it failed
     * @param detail the place and nature of this failure
     */
    record Failed(ErrorCode code, String detail) implements JobAnswer {}

    /**
     * The job has not ended; given to queries only, never to a submission.
     *
     * @param tasksEnded how many tasks have ended
     * @param tasks how many tasks the job has
     */
    record Pending(int tasksEnded, int tasks) implements JobAnswer {}
}
