package org.jackdawsaddle.internal.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.internal.message.EntryLoad;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.pool.handover.HandOverPlan;
import org.jackdawsaddle.pool.PoolAnswer;
import org.jackdawsaddle.pool.PoolJob;

/**
 * Hands jobs over to other entries and passes their answers on to the callers. A job is handed over
 * once at most: its receiver answers or declines it.
 *
 * <p>If the receiver is lost, or silent for {@link PoolTiming#HAND_OVER_TIMEOUT_MILLIS}, its jobs
 * may have run, and are abandoned; the receiver abandons them after the same silence. That is
 * before callers send a job again, so no job runs at two entries.
 */
final class HandOverController {
    /** How long a plan is used. */
    private static final long PLAN_MILLIS = 100;

    /** The time over which the rate of submitted tasks is measured. */
    private static final long RATE_MILLIS = 1_000;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** How long after the caller's deadline the answer of a receiver is not awaited any more. */
    private static final long ANSWER_SLACK_MILLIS = 100;

    /** A job that another entry answers. */
    private static final class SentJob {
        final long mNumber;
        final NodeId mReceiver;
        final PoolJob mJob;
        final List<Long> mTokens = new ArrayList<>();

        SentJob(long number, NodeId receiver, PoolJob job) {
            mNumber = number;
            mReceiver = receiver;
            mJob = job;
        }
    }

    private final PoolEntryState mState;
    private final PeerController mPeers;
    private final double mProcessorCores;
    private final BiConsumer<Long, PoolJob> mServeHere;

    /** The jobs that other entries are to answer, by id. */
    private final Map<String, SentJob> mSentJobs = new LinkedHashMap<>();

    private final Map<NodeId, EntryLoad> mLoads = new HashMap<>();
    private final WindowedSum mSubmittedTasks = new WindowedSum(RATE_MILLIS);
    private HandOverPlan mPlan = HandOverPlan.NONE;

    /** In milliseconds since the epoch. */
    private long mPlanExpiresAt;

    /** The number of the latest hand-over. */
    private long mLastNumber;

    /**
     * Creates a controller that knows no other entry.
     *
     * @param processorCores the processor cores that this entry may use; 0 if unknown, which keeps
     *     all jobs here
     * @param serveHere serves the job of a call, given by its token, at this entry
     */
    HandOverController(
            PoolEntryState state,
            PeerController peers,
            double processorCores,
            BiConsumer<Long, PoolJob> serveHere) {
        mState = state;
        mPeers = peers;
        mProcessorCores = processorCores;
        mServeHere = serveHere;
    }

    /** Returns whether another entry is to answer some job. */
    boolean active() {
        return !mSentJobs.isEmpty();
    }

    /** Records the tasks of a job that a caller has submitted. */
    void recordSubmitted(PoolJob job) {
        mSubmittedTasks.add(job.taskCount(), mState.mNow);
    }

    /** Records the load that another entry has told. */
    void onLoad(NodeId entry, EntryLoad load) {
        mLoads.put(entry, load);
    }

    /**
     * Lets a call wait for the answer to a job that was handed over before.
     *
     * @return false if the job was not handed over
     */
    boolean join(long token, String job) {
        SentJob sent = mSentJobs.get(job);
        if (sent != null) {
            sent.mTokens.add(token);
        }
        return sent != null;
    }

    /** Hands a job over if the plan says so; returns false if it must be served here. */
    boolean offer(long token, PoolJob job) {
        if (mProcessorCores <= 0 || mState.leaving()) {
            return false;
        }
        Optional<NodeId> receiver = plan().receiverOf(job.id());
        receiver.ifPresent(entry -> handOver(token, job, entry));
        return receiver.isPresent();
    }

    private HandOverPlan plan() {
        if (mState.mNow >= mPlanExpiresAt) {
            mPlanExpiresAt = mState.mNow + PLAN_MILLIS;
            updateLoad();
            mPlan = HandOverPlan.of(mState.mLoad, mLoads);
        }
        return mPlan;
    }

    private void updateLoad() {
        double tasks = mSubmittedTasks.sum(mState.mNow);
        mState.mLoad = new EntryLoad(mProcessorCores, tasks * MILLIS_PER_SECOND / RATE_MILLIS);
    }

    private void handOver(long token, PoolJob job, NodeId receiver) {
        mLastNumber++;
        mPeers.expectAnswers(receiver);
        SentJob sent = new SentJob(mLastNumber, receiver, job);
        sent.mTokens.add(token);
        mSentJobs.put(job.id(), sent);
        mState.count(PoolEntryCounter.JOBS_HANDED_OVER);
        long remainingMillis = job.deadline() - mState.mNow;
        mPeers.send(
                receiver,
                new PoolMessage.HandOver(mLastNumber, job.withDeadline(0), remainingMillis));
        EventLog.line(Event.JOB_HANDED_OVER)
                .with("job", job.id())
                .with("entry", receiver)
                .with("share", mPlan.share())
                .write();
    }

    /** Passes an answer on to the callers, or serves the job here if the receiver has declined. */
    void onAnswer(PoolMessage.HandOverAnswer answer) {
        Optional<SentJob> sent =
                mSentJobs.values().stream()
                        .filter(job -> job.mNumber == answer.number())
                        .findFirst();
        sent.ifPresent(job -> {
            mSentJobs.remove(job.mJob.id());
            if (answer.answer().isPresent()) {
                answerCallers(job, answer.answer().get());
            } else {
                mState.count(PoolEntryCounter.HAND_OVERS_DECLINED);
                job.mTokens.forEach(token -> mServeHere.accept(token, job.mJob));
            }
        });
    }

    /** Abandons the jobs of an entry that is lost. */
    void onPeerLost(NodeId peer) {
        mLoads.remove(peer);
        mPlanExpiresAt = 0;
        List.copyOf(mSentJobs.values()).stream()
                .filter(job -> job.mReceiver.equals(peer))
                .forEach(job -> {
                    mState.count(PoolEntryCounter.HAND_OVERS_LOST);
                    end(job, "the entry that had taken it over is lost");
                });
    }

    /** Ends the wait of a caller that has left; returns false if it waits for no such job. */
    boolean onCallerLost(long token) {
        Optional<SentJob> sent =
                mSentJobs.values().stream().filter(job -> job.mTokens.contains(token)).findFirst();
        sent.ifPresent(job -> {
            if (job.mTokens.size() == 1) {
                cancel(job, "its caller has left");
            } else {
                job.mTokens.remove(token);
                answer(token, new PoolAnswer.Abandoned("its caller has left"));
            }
        });
        return sent.isPresent();
    }

    /** Abandons the jobs whose callers stop waiting, or all when the process stops. */
    void onTick() {
        updateLoad();
        for (SentJob job : List.copyOf(mSentJobs.values())) {
            if (mState.mWorkDeadline <= mState.mNow) {
                cancel(job, PoolAdmission.SHUTTING_DOWN);
            } else if (job.mJob.deadline() + ANSWER_SLACK_MILLIS <= mState.mNow) {
                cancel(job, "not done when its caller stopped waiting");
            }
        }
        mSentJobs.values().stream()
                .map(job -> job.mReceiver)
                .distinct()
                .toList()
                .forEach(mPeers::expectAnswers);
    }

    /** Abandons a job and tells its receiver that no caller waits any more. */
    private void cancel(SentJob job, String reason) {
        mPeers.send(job.mReceiver, new PoolMessage.HandOverCancellation(job.mNumber));
        end(job, reason);
    }

    private void end(SentJob job, String reason) {
        mSentJobs.remove(job.mJob.id());
        answerCallers(job, new PoolAnswer.Abandoned(reason));
    }

    private void answerCallers(SentJob job, PoolAnswer answer) {
        job.mTokens.forEach(token -> answer(token, answer));
    }

    private void answer(long token, PoolAnswer answer) {
        mState.mActions.add(new PoolEntryAction.AnswerCaller(token, answer));
    }
}
