package org.jackdawsaddle.internal.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jackdawsaddle.internal.message.TaskKey;
import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.JobRequest;
import org.jackdawsaddle.job.SubmissionId;
import org.jackdawsaddle.job.TaskRequest;

/** The callers of a walk, and the promises that they check. */
final class WalkCallers {
    private static final long PATIENCE_MILLIS = 8_000;
    private static final int MAX_ATTEMPTS = 5;

    private record Attempt(EntryNode entry, SubmissionId id) {}

    private static final class Submission {
        final JobRequest mRequest;
        final boolean mIdempotent;
        final Map<Long, Optional<JobAnswer>> mAttempts = new LinkedHashMap<>();

        Submission(JobRequest request, boolean idempotent) {
            mRequest = request;
            mIdempotent = idempotent;
        }

        boolean answered() {
            return mAttempts.values().stream().anyMatch(Optional::isPresent);
        }
    }

    private final Walk mWalk;
    private final Map<SubmissionId, Submission> mSubmissions = new HashMap<>();
    private final Map<TaskKey, Integer> mStarts = new HashMap<>();
    private final Map<Long, Attempt> mOpen = new HashMap<>();
    final Map<String, Integer> mCounts = new LinkedHashMap<>();
    private long mToken;

    WalkCallers(Walk walk) {
        mWalk = walk;
    }

    void count(String what) {
        mCounts.merge(what, 1, Integer::sum);
    }

    void submitNew() {
        SubmissionId id = SubmissionId.create(mWalk.mAgenda.now(), mWalk.mRandom);
        String kind = List.of("batch", "write", "read").get(mWalk.mRandom.nextInt(3));
        int count = kind.equals("batch") ? 1 + mWalk.mRandom.nextInt(6) : 1;
        List<TaskRequest> tasks = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            tasks.add(new TaskRequest("work", 200));
        }
        JobRequest request = new JobRequest(id, "team", kind, 0, tasks);
        mSubmissions.put(id, new Submission(request, kind.equals("read")));
        attempt(id);
        if (mWalk.chance(0.3)) {
            attempt(id);
        }
    }

    private void attempt(SubmissionId id) {
        Submission submission = mSubmissions.get(id);
        List<EntryNode> entries = mWalk.entries();
        EntryNode entry = entries.get(mWalk.mRandom.nextInt(entries.size()));
        mToken++;
        long token = mToken;
        submission.mAttempts.put(token, Optional.empty());
        mOpen.put(token, new Attempt(entry, id));
        mWalk.mAgenda.after(
                mWalk.delay(),
                () ->
                        entry.run(() ->
                                entry.handle(
                                        new EntryEvent.CallerSubmitted(
                                                token, submission.mRequest))));
        mWalk.mAgenda.after(200 + mWalk.mRandom.nextInt((int) PATIENCE_MILLIS), () -> resubmit(id));
    }

    private void resubmit(SubmissionId id) {
        Submission submission = mSubmissions.get(id);
        if (!submission.answered() && submission.mAttempts.size() < MAX_ATTEMPTS) {
            attempt(id);
        }
    }

    void answered(EntryNode entry, long token, JobAnswer answer) {
        Attempt attempt = mOpen.remove(token);
        if (attempt == null || attempt.entry() != entry) {
            throw new AssertionError("Answered twice or by another: " + token);
        }
        Submission submission = mSubmissions.get(attempt.id());
        submission.mAttempts.put(token, Optional.of(answer));
        switch (answer) {
            case JobAnswer.Complete complete -> {
                count("complete");
                checkWhole(submission, complete);
            }
            case JobAnswer.NotRun notRun -> {
                count("not-run " + notRun.code().code());
                checkNotRun(submission);
            }
            case JobAnswer.Failed failed -> count("failed " + failed.code().code());
            case JobAnswer.Pending pending -> throw new AssertionError("Partial: " + pending);
        }
    }

    void started(TaskKey task) {
        int starts = mStarts.merge(task, 1, Integer::sum);
        count("starts");
        Submission submission = mSubmissions.get(task.id());
        if (starts > 1 && !submission.mIdempotent) {
            throw new AssertionError("Started twice: " + task);
        }
        checkNotRun(submission);
    }

    /** A submission whose every attempt was refused must not be started, before or after. */
    private void checkNotRun(Submission submission) {
        boolean refused =
                submission.mAttempts.values().stream()
                        .allMatch(answer ->
                                answer.filter(JobAnswer.NotRun.class::isInstance).isPresent());
        boolean started =
                mStarts.keySet().stream()
                        .anyMatch(task -> task.id().equals(submission.mRequest.id()));
        if (refused && started) {
            throw new AssertionError("Refused as not run, but ran: " + submission.mRequest.id());
        }
    }

    private static void checkWhole(Submission submission, JobAnswer.Complete complete) {
        List<String> expected = new ArrayList<>();
        for (int index = 0; index < submission.mRequest.tasks().size(); index++) {
            expected.add(submission.mRequest.id() + "/" + index);
        }
        if (!complete.answers().equals(expected)) {
            throw new AssertionError("Not its whole answer: " + complete);
        }
    }

    /** After all faults have ended, no living entry may leave a caller without an answer. */
    void checkAllAnswered() {
        for (Attempt attempt : mOpen.values()) {
            if (attempt.entry().mAlive) {
                throw new AssertionError(
                        "No answer from "
                                + attempt.entry().mId
                                + " to "
                                + attempt.id()
                                + " status "
                                + attempt.entry().mCore.status()
                                + mWalk.entries().stream()
                                        .map(e -> e.mCore.status().toString())
                                        .toList()
                                + " at "
                                + (attempt.id().unixMillis() - 1_800_000_000_000L));
            }
        }
    }
}
