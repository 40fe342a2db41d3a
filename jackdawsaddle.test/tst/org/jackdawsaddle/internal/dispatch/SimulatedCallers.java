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

/**
 * The callers of a simulation. They check that each attempt is answered at most once, that a
 * complete answer has the answers of all tasks, that only idempotent tasks are started more than
 * once, and that nothing of a submission runs if every attempt was refused as not run.
 */
final class SimulatedCallers {
    /** The upper bound of the random part of the delay before a resubmission. */
    private static final long MAX_RESUBMIT_JITTER_MILLIS = 8_000;

    private static final int MAX_ATTEMPTS = 5;

    private record Attempt(SimulatedEntry entry, SubmissionId id) {}

    private static final class Submission {
        final JobRequest mRequest;
        final boolean mIdempotent;

        /** The answer to each attempt, if there is one, by token. */
        final Map<Long, Optional<JobAnswer>> mAttempts = new LinkedHashMap<>();

        Submission(JobRequest request, boolean idempotent) {
            mRequest = request;
            mIdempotent = idempotent;
        }

        boolean answered() {
            return mAttempts.values().stream().anyMatch(Optional::isPresent);
        }
    }

    private final Simulation mSimulation;
    private final Map<SubmissionId, Submission> mSubmissions = new HashMap<>();

    /** The number of starts by task. */
    private final Map<TaskKey, Integer> mStarts = new HashMap<>();

    /** The attempts without an answer, by token. */
    private final Map<Long, Attempt> mUnanswered = new HashMap<>();

    /** The number of faults, starts and answers, by their description. */
    final Map<String, Integer> mCounts = new LinkedHashMap<>();

    private long mLastToken;

    SimulatedCallers(Simulation simulation) {
        mSimulation = simulation;
    }

    void count(String what) {
        mCounts.merge(what, 1, Integer::sum);
    }

    /** Submits a new random job, in some cases twice at once. */
    void submitNew() {
        SubmissionId id = SubmissionId.create(mSimulation.mScheduler.now(), mSimulation.mRandom);
        String kind = List.of("batch", "write", "read").get(mSimulation.mRandom.nextInt(3));
        int count = kind.equals("batch") ? 1 + mSimulation.mRandom.nextInt(6) : 1;
        List<TaskRequest> tasks = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            tasks.add(new TaskRequest("work", 200));
        }
        JobRequest request = new JobRequest(id, "team", kind, 0, tasks);
        mSubmissions.put(id, new Submission(request, kind.equals("read")));
        attempt(id);
        if (mSimulation.chance(0.3)) {
            attempt(id);
        }
    }

    /** Submits the job to a random entry, and again later if no attempt has been answered. */
    private void attempt(SubmissionId id) {
        Submission submission = mSubmissions.get(id);
        List<SimulatedEntry> entries = mSimulation.entries();
        SimulatedEntry entry = entries.get(mSimulation.mRandom.nextInt(entries.size()));
        mLastToken++;
        long token = mLastToken;
        submission.mAttempts.put(token, Optional.empty());
        mUnanswered.put(token, new Attempt(entry, id));
        mSimulation.mScheduler.after(
                mSimulation.delay(),
                () ->
                        entry.run(() ->
                                entry.handle(
                                        new EntryEvent.CallerSubmitted(
                                                token, submission.mRequest))));
        mSimulation.mScheduler.after(
                200 + mSimulation.mRandom.nextInt((int) MAX_RESUBMIT_JITTER_MILLIS),
                () -> resubmit(id));
    }

    private void resubmit(SubmissionId id) {
        Submission submission = mSubmissions.get(id);
        if (!submission.answered() && submission.mAttempts.size() < MAX_ATTEMPTS) {
            attempt(id);
        }
    }

    void onAnswer(SimulatedEntry entry, long token, JobAnswer answer) {
        Attempt attempt = mUnanswered.remove(token);
        if (attempt == null || attempt.entry() != entry) {
            throw new AssertionError(
                    "Second answer, or answer of another entry, for token " + token);
        }
        Submission submission = mSubmissions.get(attempt.id());
        submission.mAttempts.put(token, Optional.of(answer));
        switch (answer) {
            case JobAnswer.Complete complete -> {
                count("complete");
                checkComplete(submission, complete);
            }
            case JobAnswer.NotRun notRun -> {
                count("not-run " + notRun.code().code());
                checkNotRun(submission);
            }
            case JobAnswer.Failed failed -> count("failed " + failed.code().code());
            case JobAnswer.Pending pending ->
                    throw new AssertionError("Pending answer to a submission: " + pending);
        }
    }

    void onStart(TaskKey task) {
        int starts = mStarts.merge(task, 1, Integer::sum);
        count("starts");
        Submission submission = mSubmissions.get(task.id());
        if (starts > 1 && !submission.mIdempotent) {
            throw new AssertionError("Duplicate start of a task that is not idempotent: " + task);
        }
        checkNotRun(submission);
    }

    /**
     * Checks that no task of a submission was started if every attempt was refused as not run; it
     * is called on every refusal and on every start.
     */
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

    private static void checkComplete(Submission submission, JobAnswer.Complete complete) {
        List<String> expected = new ArrayList<>();
        for (int index = 0; index < submission.mRequest.tasks().size(); index++) {
            expected.add(submission.mRequest.id() + "/" + index);
        }
        if (!complete.answers().equals(expected)) {
            throw new AssertionError(
                    "Complete answer does not have the answers of the job's tasks: " + complete);
        }
    }

    /**
     * Checks that no live entry has left an attempt unanswered; called after the recovery phase.
     */
    void checkAllAnswered() {
        for (Attempt attempt : mUnanswered.values()) {
            if (attempt.entry().mAlive) {
                throw new AssertionError(
                        "No answer from "
                                + attempt.entry().mId
                                + " to submission "
                                + attempt.id()
                                + ", status "
                                + attempt.entry().mCore.status()
                                + mSimulation.entries().stream()
                                        .map(e -> e.mCore.status().toString())
                                        .toList()
                                + ", submitted at ms "
                                + (attempt.id().unixMillis() - 1_800_000_000_000L));
            }
        }
    }
}
