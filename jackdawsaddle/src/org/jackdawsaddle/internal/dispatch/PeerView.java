package org.jackdawsaddle.internal.dispatch;

/** What an entry knows of one life of a peer. */
final class PeerView {
    final String mAddress;
    boolean mConnected;
    boolean mEverConnected;
    long mLastHeardAt;
    long mRevision;

    PeerView(String address, long now) {
        mAddress = address;
        mLastHeardAt = now;
    }

    /** Returns whether the peer has shown no sign of life for too long. */
    boolean timedOut(long now) {
        boolean disconnected = mEverConnected && !mConnected;
        long timeout =
                disconnected ? Timing.PEER_DISCONNECTED_TIMEOUT_MILLIS : Timing.PEER_TIMEOUT_MILLIS;
        return now - mLastHeardAt > timeout;
    }
}
