package org.jackdawsaddle.internal.pool.evacuation;

import org.jackdawsaddle.pool.Evacuation;

/**
 * The newest evacuation that a process knows of. Processes exchange the revision in heartbeats and
 * send the evacuation to each other if theirs is newer, so that it also reaches those that cannot
 * read the store.
 *
 * <p>The revision of the store rises with every write of any key. So that an unchanged evacuation
 * is not sent around, its revision only rises when the data centres change; a later revision at
 * which the store still had the same ones is kept apart.
 */
public final class EvacuationState {
    private Evacuation mCurrent = Evacuation.NONE;

    /** The latest revision at which the store is known to have had the current evacuation. */
    private long mConfirmedRevision;

    /** Returns the evacuation in force. */
    public Evacuation current() {
        return mCurrent;
    }

    /**
     * Records what the store has returned.
     *
     * @return whether the evacuated data centres have changed
     */
    public boolean onRead(Evacuation read) {
        if (read.revision() <= mConfirmedRevision) {
            return false;
        }
        mConfirmedRevision = read.revision();
        if (read.dataCentres().equals(mCurrent.dataCentres())) {
            return false;
        }
        mCurrent = read;
        return true;
    }

    /**
     * Records what another process has sent; no effect unless it is newer than what is known.
     *
     * @return whether the evacuated data centres have changed
     */
    public boolean onReceived(Evacuation received) {
        if (received.revision() <= mConfirmedRevision) {
            return false;
        }
        boolean changed = !received.dataCentres().equals(mCurrent.dataCentres());
        mConfirmedRevision = received.revision();
        mCurrent = received;
        return changed;
    }

    /**
     * Returns whether another process must be sent the current evacuation, given the revision that
     * it has reported. That may be higher than the current one and still older than what the store
     * has last confirmed: the current evacuation is then taken as of that confirmation.
     */
    public boolean outdated(long reportedRevision) {
        if (reportedRevision > mCurrent.revision() && reportedRevision < mConfirmedRevision) {
            mCurrent = mCurrent.withRevision(mConfirmedRevision);
        }
        return reportedRevision < mCurrent.revision();
    }
}
