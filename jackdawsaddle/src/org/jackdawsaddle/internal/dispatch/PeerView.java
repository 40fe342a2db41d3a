package org.jackdawsaddle.internal.dispatch;

/** The state of one incarnation of a peer, as this entry sees it. */
final class PeerView {
    /** As host:port. */
    final String mAddress;

    boolean mConnected;
    boolean mEverConnected;

    /**
     * When the timeout started, in milliseconds since the epoch: at the latest message or, if
     * later, at the discovery of the peer, the loss of its connection or the end of a pause of this
     * process.
     */
    long mTimeoutStartedAt;

    /** The configuration revision that the peer has reported. */
    long mRevision;

    PeerView(String address, long now) {
        mAddress = address;
        mTimeoutStartedAt = now;
    }

    /**
     * Returns whether the peer counts as failed: {@link Timing#PEER_TIMEOUT_MILLIS} have passed, or
     * {@link Timing#PEER_DISCONNECTED_TIMEOUT_MILLIS} after the loss of its connection.
     *
     * @param now the current time in milliseconds since the epoch
     */
    boolean timedOut(long now) {
        boolean disconnected = mEverConnected && !mConnected;
        long timeout =
                disconnected ? Timing.PEER_DISCONNECTED_TIMEOUT_MILLIS : Timing.PEER_TIMEOUT_MILLIS;
        return now - mTimeoutStartedAt > timeout;
    }
}
