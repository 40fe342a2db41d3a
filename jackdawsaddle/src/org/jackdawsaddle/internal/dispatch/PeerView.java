package org.jackdawsaddle.internal.dispatch;

/** The state of one incarnation of a peer, as this entry sees it. */
final class PeerView {
    final String mAddress;
    boolean mConnected;
    boolean mEverConnected;
    long mLastHeardAt;

    /** The configuration revision that the peer has reported. */
    long mRevision;

    PeerView(String address, long now) {
        mAddress = address;
        mLastHeardAt = now;
    }

    /**
     * Returns whether the peer counts as failed, since its last message or the loss of its
     * connection is too long ago.
     */
    boolean timedOut(long now) {
        boolean disconnected = mEverConnected && !mConnected;
        long timeout =
                disconnected ? Timing.PEER_DISCONNECTED_TIMEOUT_MILLIS : Timing.PEER_TIMEOUT_MILLIS;
        return now - mLastHeardAt > timeout;
    }
}
