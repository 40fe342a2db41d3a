package org.jackdawsaddle.errors;

/**
 * The errors reported to callers and operators, with stable codes, HTTP statuses and remedies.
 *
 * <p>Messages and remedies are defined only here; the code that reports an error adds the detail.
 */
public enum ErrorCode {
    ANSWER_EXPIRED(
            "answer-expired",
            502,
            "The job ended earlier and its answer is no longer stored.",
            "Check the back end for effects of the job; do not submit it under another id."),
    AUTHORITY_UNCONFIRMED(
            "authority-unconfirmed",
            502,
            "This entry cannot confirm that no task was started.",
            "Submit the same id again after a second."),
    BODY_TOO_LARGE(
            "body-too-large",
            413,
            "The request body is larger than this entry accepts.",
            "Split the job, or raise maxBodyBytes in the entry's settings."),
    CANCELLED(
            "cancelled",
            409,
            "The job was cancelled.",
            "To run the job, submit it under a new id."),
    CONFIGURATION_CONFLICT(
            "configuration-conflict",
            409,
            "Another change was published first.",
            "Run diff against the current revision, then publish on top of it."),
    CONFIGURATION_INVALID(
            "configuration-invalid",
            422,
            "The configuration set is invalid and was not published.",
            "Correct each finding at its path, run check, then publish again."),
    CONFIGURATION_MISSING(
            "configuration-missing",
            503,
            "This process has not received a configuration yet.",
            "Publish a configuration, or wait until the store responds."),
    DEADLINE_PASSED(
            "deadline-passed",
            503,
            "The deadline passed before any task could start.",
            "Submit under a new id with a later deadline, or when the load is lower."),
    DEADLINE_EXCEEDED(
            "deadline-exceeded",
            502,
            "The deadline passed after tasks had started.",
            "Submit the same id again; check the back end for effects before using a new id."),
    DEADLINE_UNREACHABLE(
            "deadline-unreachable",
            503,
            "Behind the queued work, the job is expected to end after its deadline.",
            "Submit under a new id later, or with a later deadline."),
    DRAINING(
            "draining",
            503,
            "This entry is shutting down.",
            "Submit the same id again; the load balancer will choose another entry."),
    ID_EXPIRED(
            "id-expired",
            502,
            "The id is older than the lifetime of submission ids.",
            "Check the back end for effects of the job, then use a new id."),
    ID_FROM_FUTURE(
            "id-from-future",
            422,
            "The id's timestamp is ahead of this entry's clock.",
            "Correct the caller's clock or take an id from POST /v1/ids."),
    ID_REUSED(
            "id-reused",
            422,
            "The id was already used with a different body.",
            "Use a new id for a different job."),
    JOB_UNKNOWN(
            "job-unknown",
            404,
            "No job with this id is known.",
            "Check the id and the service parameter."),
    JOB_PENDING(
            "job-pending",
            202,
            "The job has not ended yet.",
            "Query again, or submit the same body to wait for the answer."),
    LIMIT_EXCEEDED(
            "limit-exceeded",
            429,
            "A limit of the team or job kind is reached.",
            "Submit under a new id after earlier work has ended, or raise the limit."),
    NEVER_FITS(
            "never-fits",
            422,
            "No target of the service has the capacity for one task of this kind.",
            "Lower the job kind's demand or add a larger target."),
    NO_TARGET(
            "no-target",
            503,
            "No target of the service accepts tasks.",
            "Run status and look for targets that are missing, lost, leaving or drained."),
    OVERLOADED(
            "overloaded", 503, "The queue of the service is full.", "Submit under a new id later."),
    OWNER_UNREACHABLE(
            "owner-unreachable",
            502,
            "The owner of this id's partition could not be reached before the deadline.",
            "Submit the same id again; new work can take an id from POST /v1/ids."),
    REQUEST_INVALID(
            "request-invalid",
            400,
            "The request is invalid.",
            "Correct the field that the detail names."),
    SETTINGS_INVALID(
            "settings-invalid",
            400,
            "The settings file is invalid.",
            "Correct the field at the path; run settings ROLE for an example."),
    STORE_UNAVAILABLE(
            "store-unavailable",
            503,
            "The platform's store does not respond.",
            "Jobs are still served; repeat the change when the store is available again."),
    TARGET_LOST(
            "target-lost",
            502,
            "The target or its sidecar was lost while a task was or may have been running.",
            "Check the back end for effects of the job before using a new id."),
    TARGET_UNREACHABLE(
            "target-unreachable",
            503,
            "The target refused the connection.",
            "No task was run; submit under a new id."),
    TASK_FAILED(
            "task-failed",
            502,
            "A task failed on its target.",
            "Read the detail; correct the payload or the back end."),
    UNAUTHORIZED(
            "unauthorized",
            401,
            "The administration token is missing or wrong.",
            "Send the header Authorization: Bearer TOKEN with adminToken of the settings.");

    private final String mCode;
    private final int mHttpStatus;
    private final String mMessage;
    private final String mRemedy;

    ErrorCode(String code, int httpStatus, String message, String remedy) {
        mCode = code;
        mHttpStatus = httpStatus;
        mMessage = message;
        mRemedy = remedy;
    }

    /** Returns the stable code, in lower case with hyphens. */
    public String code() {
        return mCode;
    }

    /** Returns the HTTP status of responses that report this error. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /** Returns a sentence that says what went wrong. */
    public String message() {
        return mMessage;
    }

    /** Returns a sentence that says how to resolve the error. */
    public String remedy() {
        return mRemedy;
    }

    /**
     * Returns the error with the given code.
     *
     * @throws IllegalArgumentException if no error has this code
     */
    public static ErrorCode of(String code) {
        for (ErrorCode candidate : values()) {
            if (candidate.mCode.equals(code)) {
                return candidate;
            }
        }
        throw new IllegalArgumentException("Unknown error code: " + code);
    }
}
