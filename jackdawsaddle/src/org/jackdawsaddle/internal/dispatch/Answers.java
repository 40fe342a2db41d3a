package org.jackdawsaddle.internal.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.jackdawsaddle.errors.ErrorCode;
import org.jackdawsaddle.internal.message.PeerMessage.JobAnswered;
import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.JobRequest;

/** Gives answers to whoever waits; a refusal leaves only while the lease proves that it is true. */
final class Answers {
    private static final long REFUSAL_PATIENCE_MILLIS = 2_000;

    private final EntryBoard mBoard;

    Answers(EntryBoard board) {
        mBoard = board;
    }

    void give(Waiter waiter, JobAnswer answer) {
        switch (waiter) {
            case Waiter.LocalCaller caller -> mBoard.mOutbox.answerCaller(caller.token(), answer);
            case Waiter.Peer peer ->
                    mBoard.mOutbox.sendToPeer(peer.peer(), new JobAnswered(peer.token(), answer));
        }
    }

    /** Refuses a request, at once or after the lease was confirmed. */
    void refuse(
            OwnedPartition partition, JobRequest request, Waiter waiter, JobAnswer.NotRun answer) {
        if (partition.mayRefuse(mBoard.mNow)) {
            give(waiter, answer);
            return;
        }
        mBoard.count(EntryCounter.REFUSALS_CONFIRMED);
        long expiresAt = mBoard.mNow + REFUSAL_PATIENCE_MILLIS;
        partition.mRefusals.add(new HeldRefusal(request, waiter, answer, expiresAt));
    }

    /** Gives the refusals that the lease allows by now, and gives up on those held too long. */
    void settleRefusals(OwnedPartition partition) {
        if (partition.mRefusals.isEmpty()) {
            return;
        }
        List<HeldRefusal> held = new ArrayList<>(partition.mRefusals);
        partition.mRefusals.clear();
        for (HeldRefusal refusal : held) {
            if (partition.mayRefuse(mBoard.mNow)) {
                give(refusal.waiter(), refusal.answer());
            } else if (mBoard.mNow >= refusal.expiresAt()) {
                String detail = "No majority of sidecars confirms the lease.";
                give(
                        refusal.waiter(),
                        new JobAnswer.Failed(ErrorCode.AUTHORITY_UNCONFIRMED, detail));
            } else {
                partition.mRefusals.add(refusal);
            }
        }
    }
}
