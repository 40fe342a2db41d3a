package org.jackdawsaddle.internal.pool.sidecar;

import java.util.Optional;
import org.jackdawsaddle.pool.TargetIncarnation;

/** Decides when the incarnation of a sidecar's target must be saved in the store. */
final class SavedTarget {
    /** Delay before another attempt to save. */
    private static final long RETRY_MILLIS = 2_000;

    /** The incarnation that was last loaded from the store or saved there. */
    private Optional<TargetIncarnation> mSaved = Optional.empty();

    /** Before this time no attempt is made. */
    private long mAttemptDueAt;

    /** Records what the store holds. */
    void onSaved(TargetIncarnation target) {
        mSaved = Optional.of(target);
    }

    void onSaveFailed(long now) {
        mAttemptDueAt = now + RETRY_MILLIS;
    }

    /**
     * Returns when the target must be saved, in milliseconds since the epoch; {@code
     * Long.MAX_VALUE} if it already is.
     */
    long dueAt(TargetIncarnation target) {
        return mSaved.filter(target::sameIncarnation).isPresent() ? Long.MAX_VALUE : mAttemptDueAt;
    }

    /** Returns whether the target must be saved now; another attempt is then due later. */
    boolean takeDue(TargetIncarnation target, long now) {
        boolean due = now >= dueAt(target);
        if (due) {
            mAttemptDueAt = now + RETRY_MILLIS;
        }
        return due;
    }
}
