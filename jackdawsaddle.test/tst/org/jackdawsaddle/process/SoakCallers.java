package org.jackdawsaddle.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jackdawsaddle.internal.http.HttpRequest;
import org.jackdawsaddle.internal.http.HttpResponse;
import org.jackdawsaddle.standin.platform.PlatformFixture;

/**
 * Callers that submit random jobs. They resend a job to the next entry if it gets neither an answer
 * nor a refusal. Some close the connection of their first request while its job, a long one, runs.
 */
final class SoakCallers {
    private static final long RESPONSE_TIMEOUT_MILLIS = 3_000;
    private static final long RESEND_MILLIS = 1_300;
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_TASKS = 6;
    private static final int MAX_WORK_MILLIS = 200;
    private static final int MAX_CORES = 4;
    private static final int MAX_PAUSE_MILLIS = 80;

    /** One in so many submissions is followed by one of a caller that closes its connection. */
    private static final int IMPATIENT_INTERVAL = 10;

    private static final int MAX_IMPATIENCE_MILLIS = 300;

    /** Keeps the ids of impatient callers' jobs apart from those of all other callers. */
    private static final long IMPATIENCE_SEED_OFFSET = 1_000_000_007;

    /** Long enough to be still running when the job is sent again. */
    private static final int IMPATIENT_WORK_MILLIS = 1_500;

    /** With these statuses an entry states that no task has run; the job is not resent. */
    private static final Set<Integer> REFUSAL_STATUSES = Set.of(404, 429, 503);

    private static final int OK = 200;

    /** A job with the response statuses of all attempts, 0 for no response. */
    private static final class SentJob {
        final String mId;
        final int mTaskCount;
        final List<Integer> mStatuses = new ArrayList<>();
        boolean mSucceeded;

        SentJob(String id, int tasks) {
            mId = id;
            mTaskCount = tasks;
        }
    }

    private final SoakFleet mFleet;
    private final Random mRandom;

    /** Apart from the other numbers, so that these are the same as without impatient callers. */
    private final Random mImpatience;

    private final List<SentJob> mSentJobs = new ArrayList<>();
    private final List<CompletableFuture<Void>> mPendingResponses = new ArrayList<>();

    SoakCallers(SoakFleet fleet, long seed) {
        mFleet = fleet;
        mRandom = new Random(seed);
        mImpatience = new Random(seed + IMPATIENCE_SEED_OFFSET);
    }

    /**
     * Submits jobs and waits for the last response to each.
     *
     * @param durationMillis for how long jobs are submitted, in milliseconds
     */
    void run(long durationMillis) {
        long end = mFleet.mClock.now() + durationMillis;
        while (mFleet.mClock.now() < end) {
            sendJob();
            if (mImpatience.nextInt(IMPATIENT_INTERVAL) == 0) {
                sendImpatiently();
            }
            ProcessFleet.sleep(mRandom.nextInt(MAX_PAUSE_MILLIS));
        }
        mPendingResponses.forEach(CompletableFuture::join);
    }

    private void sendJob() {
        SentJob job =
                new SentJob(
                        String.format("%016x", mRandom.nextLong()), 1 + mRandom.nextInt(MAX_TASKS));
        mSentJobs.add(job);
        PlatformFixture.Work work =
                new PlatformFixture.Work(
                        job.mTaskCount,
                        1 + mRandom.nextInt(MAX_WORK_MILLIS),
                        1 + mRandom.nextInt(MAX_CORES));
        int entry = mRandom.nextInt(SoakFleet.ENTRIES);
        mPendingResponses.add(send(job, work, entry, 1, RESPONSE_TIMEOUT_MILLIS));
    }

    /** Sends a job and closes the connection soon, long before the time that the job declares. */
    private void sendImpatiently() {
        SentJob job = new SentJob(String.format("%016x", mImpatience.nextLong()), 1);
        mSentJobs.add(job);
        PlatformFixture.Work work = new PlatformFixture.Work(1, IMPATIENT_WORK_MILLIS, 1);
        int entry = mImpatience.nextInt(SoakFleet.ENTRIES);
        long closeAfterMillis = 1 + mImpatience.nextInt(MAX_IMPATIENCE_MILLIS);
        mPendingResponses.add(send(job, work, entry, 1, closeAfterMillis));
    }

    /**
     * Sends a job.
     *
     * @param closeAfterMillis when the connection is closed if there is no response, in
     *     milliseconds from now
     */
    private CompletableFuture<Void> send(
            SentJob job, PlatformFixture.Work work, int entry, int attempt, long closeAfterMillis) {
        long deadline = mFleet.mClock.now() + closeAfterMillis;
        HttpRequest request =
                mFleet.mFixture.jobRequest(
                        entry, SoakFleet.QUEUE, job.mId, work, RESPONSE_TIMEOUT_MILLIS, deadline);
        int next = (entry + 1) % SoakFleet.ENTRIES;
        return mFleet.mHttpClient
                .send(request)
                .handle((response, failure) -> recordResponse(job, response))
                .thenCompose(resend ->
                        resend && attempt < MAX_ATTEMPTS
                                ? sendLater(job, work, next, attempt + 1)
                                : CompletableFuture.completedFuture(null));
    }

    private CompletableFuture<Void> sendLater(
            SentJob job, PlatformFixture.Work work, int entry, int attempt) {
        return CompletableFuture.supplyAsync(
                        () -> null,
                        CompletableFuture.delayedExecutor(RESEND_MILLIS, TimeUnit.MILLISECONDS))
                .thenCompose(nothing -> send(job, work, entry, attempt, RESPONSE_TIMEOUT_MILLIS));
    }

    /**
     * Records the response to an attempt.
     *
     * @param response the response; null for none
     * @return whether the job is to be resent
     */
    private static synchronized boolean recordResponse(SentJob job, HttpResponse response) {
        if (response == null) {
            job.mStatuses.add(0);
            return true;
        }
        job.mStatuses.add(response.status());
        job.mSucceeded |= response.status() == OK && response.body().contains("succeeded");
        return response.status() != OK && !REFUSAL_STATUSES.contains(response.status());
    }

    /**
     * Returns descriptions of the answers that contradict the tasks that were started.
     *
     * @param started the tasks that any worker has started
     */
    List<String> violations(Set<String> started) {
        List<String> violations = new ArrayList<>();
        for (SentJob job : mSentJobs) {
            long startedTasks = started.stream().filter(task -> task.startsWith(job.mId)).count();
            if (REFUSAL_STATUSES.containsAll(job.mStatuses) && startedTasks > 0) {
                violations.add("refused, but started: " + job.mId + " " + job.mStatuses);
            }
            if (job.mSucceeded && startedTasks < job.mTaskCount) {
                violations.add("succeeded, but not all started: " + job.mId + " " + job.mStatuses);
            }
        }
        return violations;
    }

    int sentJobs() {
        return mSentJobs.size();
    }

    long succeededJobs() {
        return mSentJobs.stream().filter(job -> job.mSucceeded).count();
    }
}
