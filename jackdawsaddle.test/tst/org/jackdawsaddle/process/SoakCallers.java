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

/** Callers that submit random jobs and resend them to the next entry if they get no answer. */
final class SoakCallers {
    private static final long RESPONSE_TIMEOUT_MILLIS = 3_000;
    private static final long RESEND_MILLIS = 1_300;
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_TASKS = 6;
    private static final int MAX_WORK_MILLIS = 200;
    private static final int MAX_CORES = 4;
    private static final int MAX_PAUSE_MILLIS = 80;
    private static final Set<Integer> REFUSAL_STATUSES = Set.of(404, 429, 503);
    private static final int OK = 200;

    /** A job with the responses to all attempts; status 0 stands for no response. */
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
    private final List<SentJob> mSentJobs = new ArrayList<>();
    private final List<CompletableFuture<Void>> mPendingResponses = new ArrayList<>();

    SoakCallers(SoakFleet fleet, long seed) {
        mFleet = fleet;
        mRandom = new Random(seed);
    }

    /** Submits jobs for the given time and waits for the last response to each. */
    void run(long millis) {
        long end = mFleet.mClock.now() + millis;
        while (mFleet.mClock.now() < end) {
            sendOne();
            ProcessFleet.sleep(mRandom.nextInt(MAX_PAUSE_MILLIS));
        }
        mPendingResponses.forEach(CompletableFuture::join);
    }

    private void sendOne() {
        SentJob sent =
                new SentJob(
                        String.format("%016x", mRandom.nextLong()), 1 + mRandom.nextInt(MAX_TASKS));
        mSentJobs.add(sent);
        PlatformFixture.Work work =
                new PlatformFixture.Work(
                        sent.mTaskCount,
                        1 + mRandom.nextInt(MAX_WORK_MILLIS),
                        1 + mRandom.nextInt(MAX_CORES));
        mPendingResponses.add(send(sent, work, mRandom.nextInt(SoakFleet.ENTRIES), 1));
    }

    private CompletableFuture<Void> send(
            SentJob sent, PlatformFixture.Work work, int entry, int attempt) {
        long deadline = mFleet.mClock.now() + RESPONSE_TIMEOUT_MILLIS;
        HttpRequest request =
                mFleet.mFixture.jobRequest(
                        entry, SoakFleet.QUEUE, sent.mId, work, RESPONSE_TIMEOUT_MILLIS, deadline);
        int next = (entry + 1) % SoakFleet.ENTRIES;
        return mFleet.mHttpClient
                .send(request)
                .handle((response, failure) -> recordResponse(sent, response))
                .thenCompose(resend ->
                        resend && attempt < MAX_ATTEMPTS
                                ? sendLater(sent, work, next, attempt + 1)
                                : CompletableFuture.completedFuture(null));
    }

    private CompletableFuture<Void> sendLater(
            SentJob sent, PlatformFixture.Work work, int entry, int attempt) {
        return CompletableFuture.supplyAsync(
                        () -> null,
                        CompletableFuture.delayedExecutor(RESEND_MILLIS, TimeUnit.MILLISECONDS))
                .thenCompose(nothing -> send(sent, work, entry, attempt));
    }

    /** Records a response, null for none; returns whether the job is to be resent. */
    private static synchronized boolean recordResponse(SentJob sent, HttpResponse response) {
        if (response == null) {
            sent.mStatuses.add(0);
            return true;
        }
        sent.mStatuses.add(response.status());
        sent.mSucceeded |= response.status() == OK && response.body().contains("succeeded");
        return response.status() != OK && !REFUSAL_STATUSES.contains(response.status());
    }

    /** Returns the answers that contradict the tasks that were started, as texts. */
    List<String> violations(Set<String> started) {
        List<String> violations = new ArrayList<>();
        for (SentJob sent : mSentJobs) {
            long startedTasks = started.stream().filter(task -> task.startsWith(sent.mId)).count();
            if (REFUSAL_STATUSES.containsAll(sent.mStatuses) && startedTasks > 0) {
                violations.add("refused, but started: " + sent.mId + " " + sent.mStatuses);
            }
            if (sent.mSucceeded && startedTasks < sent.mTaskCount) {
                violations.add(
                        "succeeded, but not all started: " + sent.mId + " " + sent.mStatuses);
            }
        }
        return violations;
    }

    int sent() {
        return mSentJobs.size();
    }

    long succeeded() {
        return mSentJobs.stream().filter(sent -> sent.mSucceeded).count();
    }
}
