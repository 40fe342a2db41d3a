package org.jackdawsaddle.internal.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.jackdawsaddle.errors.ErrorCode;
import org.jackdawsaddle.internal.message.PeerMessage.JobAnswered;
import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.JobRequest;

/**
 * Sends answers to waiters. A refusal states that no task of the job was started; {@link
 * #sendRefusal} sends it only while the lease proves this, {@link #send} does not check.
 */
final class AnswerSender {
    /** How long a refusal waits for the confirmation of the lease. */
    private static final long REFUSAL_TIMEOUT_MILLIS = 2_000;

    private final EntryState mState;

    AnswerSender(EntryState state) {
        mState = state;
    }

    void send(Waiter waiter, JobAnswer answer) {
        switch (waiter) {
            case Waiter.LocalCaller caller -> mState.mOutbox.answerCaller(caller.token(), answer);
            case Waiter.Peer peer ->
                    mState.mOutbox.sendToPeer(peer.peer(), new JobAnswered(peer.token(), answer));
        }
    }

    /**
     * Sends a refusal, now or as soon as the lease is confirmed. If it is not confirmed in time,
     * the waiter gets a failure with AUTHORITY_UNCONFIRMED instead.
     */
    void sendRefusal(
            OwnedPartition partition, JobRequest request, Waiter waiter, JobAnswer.NotRun answer) {
        if (partition.mayRefuse(mState.mNow)) {
            send(waiter, answer);
            return;
        }
        mState.count(EntryCounter.REFUSALS_CONFIRMED);
        long expiresAt = mState.mNow + REFUSAL_TIMEOUT_MILLIS;
        partition.mDeferredRefusals.add(new DeferredRefusal(request, waiter, answer, expiresAt));
    }

    /**
     * Sends the deferred refusals that the lease allows now, and a failure instead of those that
     * have waited for {@link #REFUSAL_TIMEOUT_MILLIS}.
     */
    void sendDeferredRefusals(OwnedPartition partition) {
        if (partition.mDeferredRefusals.isEmpty()) {
            return;
        }
        List<DeferredRefusal> deferred = new ArrayList<>(partition.mDeferredRefusals);
        partition.mDeferredRefusals.clear();
        for (DeferredRefusal refusal : deferred) {
            if (partition.mayRefuse(mState.mNow)) {
                send(refusal.waiter(), refusal.answer());
            } else if (mState.mNow >= refusal.expiresAt()) {
                String detail = "No majority of sidecars confirms the lease.";
                send(
                        refusal.waiter(),
                        new JobAnswer.Failed(ErrorCode.AUTHORITY_UNCONFIRMED, detail));
            } else {
                partition.mDeferredRefusals.add(refusal);
            }
        }
    }
}
