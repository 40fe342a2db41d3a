package org.jackdawsaddle.internal.dispatch;

/** What an entry knows of one life of a peer. */
final class PeerView {
    final String mAddress;
    boolean mConnected;
    boolean mWasConnected;
    long mHeardAt;
    long mRevision;

    PeerView(String address, long now) {
        mAddress = address;
        mHeardAt = now;
    }

    /** Returns whether the peer has shown no sign of life for too long. */
    boolean silent(long now) {
        boolean refused = mWasConnected && !mConnected;
        long patience = refused ? Timing.PEER_REFUSED_MILLIS : Timing.PEER_SILENCE_MILLIS;
        return now - mHeardAt > patience;
    }
}
