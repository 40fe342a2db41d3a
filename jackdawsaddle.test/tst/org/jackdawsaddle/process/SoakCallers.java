package org.jackdawsaddle.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jackdawsaddle.internal.http.HttpRequest;
import org.jackdawsaddle.internal.http.HttpResponse;
import org.jackdawsaddle.standin.platform.PlatformPlan;

/** Callers that send jobs, and send them again to any entry when no answer comes. */
final class SoakCallers {
    private static final long PATIENCE_MILLIS = 3_000;
    private static final long RESEND_MILLIS = 1_300;
    private static final int MOST_SENDS = 3;
    private static final int MOST_TASKS = 6;
    private static final int MOST_MILLIS = 200;
    private static final int MOST_CORES = 4;
    private static final int PAUSE_MILLIS = 80;
    private static final Set<Integer> REFUSALS = Set.of(404, 429, 503);
    private static final int OK = 200;

    /** One job with what its caller got. */
    private static final class Sent {
        final String mId;
        final int mTasks;
        final List<Integer> mStatuses = new ArrayList<>();
        boolean mSucceeded;

        Sent(String id, int tasks) {
            mId = id;
            mTasks = tasks;
        }
    }

    private final SoakFleet mFleet;
    private final Random mRandom;
    private final List<Sent> mSent = new ArrayList<>();
    private final List<CompletableFuture<Void>> mOut = new ArrayList<>();

    SoakCallers(SoakFleet fleet, long seed) {
        mFleet = fleet;
        mRandom = new Random(seed);
    }

    /** Sends jobs until the time is over, and waits for their ends. */
    void run(long millis) {
        long end = mFleet.mClock.now() + millis;
        while (mFleet.mClock.now() < end) {
            sendOne();
            ProcessFleet.pause(mRandom.nextInt(PAUSE_MILLIS));
        }
        mOut.forEach(CompletableFuture::join);
    }

    private void sendOne() {
        Sent sent =
                new Sent(
                        String.format("%016x", mRandom.nextLong()),
                        1 + mRandom.nextInt(MOST_TASKS));
        mSent.add(sent);
        PlatformPlan.Work work =
                new PlatformPlan.Work(
                        sent.mTasks,
                        1 + mRandom.nextInt(MOST_MILLIS),
                        1 + mRandom.nextInt(MOST_CORES));
        mOut.add(send(sent, work, mRandom.nextInt(SoakFleet.ENTRIES), 1));
    }

    private CompletableFuture<Void> send(Sent sent, PlatformPlan.Work work, int entry, int number) {
        long until = mFleet.mClock.now() + PATIENCE_MILLIS;
        HttpRequest call =
                mFleet.mPlan.job(entry, SoakFleet.QUEUE, sent.mId, work, PATIENCE_MILLIS, until);
        int next = (entry + 1) % SoakFleet.ENTRIES;
        return mFleet.mCaller
                .send(call)
                .handle((answer, failure) -> note(sent, answer))
                .thenCompose(again ->
                        again && number < MOST_SENDS
                                ? later(sent, work, next, number + 1)
                                : CompletableFuture.completedFuture(null));
    }

    private CompletableFuture<Void> later(
            Sent sent, PlatformPlan.Work work, int entry, int number) {
        return CompletableFuture.supplyAsync(
                        () -> null,
                        CompletableFuture.delayedExecutor(RESEND_MILLIS, TimeUnit.MILLISECONDS))
                .thenCompose(nothing -> send(sent, work, entry, number));
    }

    /** Notes an answer; returns whether the job is to be sent again. */
    private static synchronized boolean note(Sent sent, HttpResponse answer) {
        if (answer == null) {
            sent.mStatuses.add(0);
            return true;
        }
        sent.mStatuses.add(answer.status());
        sent.mSucceeded |= answer.status() == OK && answer.body().contains("succeeded");
        return answer.status() != OK && !REFUSALS.contains(answer.status());
    }

    /** Returns what was not true of the answers, given all tasks that were ever started. */
    List<String> broken(Set<String> started) {
        List<String> broken = new ArrayList<>();
        for (Sent sent : mSent) {
            long begun = started.stream().filter(task -> task.startsWith(sent.mId)).count();
            if (REFUSALS.containsAll(sent.mStatuses) && begun > 0) {
                broken.add("refused, but started: " + sent.mId + " " + sent.mStatuses);
            }
            if (sent.mSucceeded && begun < sent.mTasks) {
                broken.add("succeeded, but not all started: " + sent.mId + " " + sent.mStatuses);
            }
        }
        return broken;
    }

    int sent() {
        return mSent.size();
    }

    long succeeded() {
        return mSent.stream().filter(sent -> sent.mSucceeded).count();
    }
}
