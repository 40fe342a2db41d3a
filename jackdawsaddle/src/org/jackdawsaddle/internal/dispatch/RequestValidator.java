package org.jackdawsaddle.internal.dispatch;

import java.util.Optional;
import org.jackdawsaddle.config.ConfigurationSet;
import org.jackdawsaddle.config.JobKind;
import org.jackdawsaddle.errors.ErrorCode;
import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.JobRequest;

/** Validates a caller's job against the configuration in force. */
final class RequestValidator {
    private final EntryState mState;

    RequestValidator(EntryState state) {
        mState = state;
    }

    /**
     * Returns empty if the job is valid, else a refusal: REQUEST_INVALID with the invalid field, or
     * CONFIGURATION_MISSING if no configuration or no layout is known.
     */
    Optional<JobAnswer> refusal(JobRequest request) {
        if (mState.mHead.revision() == 0 || mState.mPartitionMap.isEmpty()) {
            return refuse(ErrorCode.CONFIGURATION_MISSING, "This entry has none yet.");
        }
        ConfigurationSet set = mState.mHead.set();
        Optional<JobKind> kind = set.jobKind(request.kind());
        if (kind.isEmpty()) {
            return refuse(
                    ErrorCode.REQUEST_INVALID, "kind: no job kind \"" + request.kind() + "\"");
        }
        if (set.team(request.team()).isEmpty()) {
            return refuse(ErrorCode.REQUEST_INVALID, "team: no team \"" + request.team() + "\"");
        }
        if (request.tasks().isEmpty()) {
            return refuse(ErrorCode.REQUEST_INVALID, "tasks: a job has at least one task");
        }
        if (request.tasks().size() > kind.get().maxTasks()) {
            String detail =
                    "tasks: "
                            + request.tasks().size()
                            + " are more than maxTasks "
                            + kind.get().maxTasks();
            return refuse(ErrorCode.REQUEST_INVALID, detail);
        }
        if (request.deadline() > 0 && request.deadline() <= mState.mNow) {
            return refuse(ErrorCode.REQUEST_INVALID, "deadline: lies in the past");
        }
        return Optional.empty();
    }

    private static Optional<JobAnswer> refuse(ErrorCode code, String detail) {
        return Optional.of(new JobAnswer.NotRun(code, detail));
    }
}
