package org.jackdawsaddle.internal.pool.sidecar;

import java.util.Optional;
import java.util.function.Predicate;
import org.jackdawsaddle.pool.TargetIncarnation;

/** Decides when the incarnation of a sidecar's target must be saved in the store. */
final class SavedTarget {
    /** Delay before another attempt to save. */
    private static final long RETRY_MILLIS = 2_000;

    /** The incarnation that was last loaded from the store or saved there. */
    private Optional<TargetIncarnation> mSaved = Optional.empty();

    /** Before this time no attempt is made. */
    private long mAttemptDueAt;

    /** Whether the configuration shows that a service is that of another writer. */
    private final Predicate<String> mContradicted;

    /**
     * Creates a record of nothing.
     *
     * @param contradicted whether the configuration shows that a service is that of another writer,
     *     so that its target must not be saved
     */
    SavedTarget(Predicate<String> contradicted) {
        mContradicted = contradicted;
    }

    /** Records what the store holds. */
    void onSaved(TargetIncarnation target) {
        mSaved = Optional.of(target);
    }

    void onSaveFailed(long now) {
        mAttemptDueAt = now + RETRY_MILLIS;
    }

    /**
     * Returns when the target must be saved, in milliseconds since the epoch; {@code
     * Long.MAX_VALUE} if it already is or must not be.
     */
    long dueAt(TargetIncarnation target) {
        boolean saved = mSaved.filter(target::sameIncarnation).isPresent();
        return saved || mContradicted.test(target.service()) ? Long.MAX_VALUE : mAttemptDueAt;
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
