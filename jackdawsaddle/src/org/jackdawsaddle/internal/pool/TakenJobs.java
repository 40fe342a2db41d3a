package org.jackdawsaddle.internal.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage;

/**
 * The jobs that this entry answers for others. To the rest of the entry each is the call of a
 * caller, with a negative token; the caller counts as lost if the other entry is.
 */
final class TakenJobs {
    /** The request of another entry. */
    private record Request(NodeId sender, long number) {}

    private final PoolEntryState mState;
    private final Map<Long, Request> mRequestsByToken = new HashMap<>();

    /** When each entry with such jobs last sent a message, in milliseconds since the epoch. */
    private final Map<NodeId, Long> mLastHeardAt = new HashMap<>();

    private long mLastToken;

    TakenJobs(PoolEntryState state) {
        mState = state;
    }

    /** Records a job that is taken over; returns the token of its call. */
    long add(NodeId sender, long number) {
        mState.count(PoolEntryCounter.JOBS_TAKEN_OVER);
        mLastToken--;
        mRequestsByToken.put(mLastToken, new Request(sender, number));
        mLastHeardAt.put(sender, mState.mNow);
        return mLastToken;
    }

    /** Records that a message has arrived from another entry. */
    void onHeard(NodeId sender) {
        mLastHeardAt.computeIfPresent(sender, (node, at) -> mState.mNow);
    }

    /** Returns the token of a request; empty if it has been answered. */
    Optional<Long> find(NodeId sender, long number) {
        Request request = new Request(sender, number);
        return mRequestsByToken.entrySet().stream()
                .filter(entry -> entry.getValue().equals(request))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /** Returns the tokens of all requests of an entry. */
    List<Long> requestsOf(NodeId sender) {
        return mRequestsByToken.entrySet().stream()
                .filter(entry -> entry.getValue().sender().equals(sender))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the entries with requests that have been silent for too long. */
    List<NodeId> takeSilentSenders() {
        List<NodeId> silent =
                mLastHeardAt.entrySet().stream()
                        .filter(entry ->
                                mState.mNow - entry.getValue()
                                        > PoolTiming.HAND_OVER_TIMEOUT_MILLIS)
                        .map(Map.Entry::getKey)
                        .toList();
        silent.forEach(mLastHeardAt::remove);
        return silent;
    }

    /** Turns the answer to a call into one to the entry that has handed the job over, if any. */
    PoolEntryAction redirect(PoolEntryAction action) {
        if (!(action instanceof PoolEntryAction.AnswerCaller answer)) {
            return action;
        }
        Request request = mRequestsByToken.remove(answer.token());
        if (request == null) {
            return action;
        }
        return new PoolEntryAction.AnswerPeer(
                request.sender(),
                new PoolMessage.HandOverAnswer(request.number(), Optional.of(answer.answer())));
    }
}
