package org.jackdawsaddle.internal.pool.sidecar;

import java.util.Optional;
import java.util.function.Predicate;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.pool.RunSnapshot;
import org.jackdawsaddle.pool.TargetIncarnation;

/** The target of a sidecar as far as it is known, and whether its announcement is recent. */
final class KnownTarget {
    /**
     * Without an announcement for this long, the target gets no new tasks: its capacity may have
     * shrunk unheard.
     */
    private static final long ANNOUNCEMENT_TIMEOUT_MILLIS = 4_000;

    private Optional<TargetIncarnation> mTarget = Optional.empty();

    /**
     * The latest announcement of another service than that of the known target; empty if there is
     * none. Until the configuration is known, either may be that of another writer.
     */
    private Optional<TargetIncarnation> mRival = Optional.empty();

    /** When that announcement times out, in milliseconds since the epoch. */
    private long mRivalExpiresAt;

    /**
     * When the latest announcement of this incarnation times out, in milliseconds since the epoch;
     * 0 if there is none or the target withdrew it.
     */
    private long mAnnouncementExpiresAt;

    Optional<TargetIncarnation> target() {
        return mTarget;
    }

    /** Replaces the description by that in an announcement received now. */
    void onAnnounced(TargetIncarnation target, long now) {
        mTarget = Optional.of(target);
        mAnnouncementExpiresAt = now + ANNOUNCEMENT_TIMEOUT_MILLIS;
    }

    /** Replaces the incarnation by one that has not announced itself to this process. */
    void onDiscovered(TargetIncarnation target) {
        mTarget = Optional.of(target);
        mAnnouncementExpiresAt = 0;
    }

    /** Records that the target has withdrawn its announcement. */
    void onWithdrawn() {
        mAnnouncementExpiresAt = 0;
    }

    /** Returns whether the target has announced itself lately, and not that it leaves. */
    boolean available(long now) {
        return mTarget.filter(target -> !target.leaving()).isPresent()
                && now < mAnnouncementExpiresAt;
    }

    /**
     * Returns when the announcement times out, in milliseconds since the epoch; {@code
     * Long.MAX_VALUE} if it already has.
     */
    long announcementExpiresAt(long now) {
        return now < mAnnouncementExpiresAt ? mAnnouncementExpiresAt : Long.MAX_VALUE;
    }

    /**
     * Returns whether an announcement replaces what is known. The target beside a sidecar never
     * changes its service: an announcement of another service is that of another writer and is
     * logged, unless only the known one is of a service that the configuration does not name.
     *
     * @param namesService whether the configuration names a service; false without a configuration
     * @param now in milliseconds since the epoch
     */
    boolean accepts(TargetIncarnation announced, Predicate<String> namesService, long now) {
        if (mTarget.filter(known -> !known.service().equals(announced.service())).isEmpty()) {
            return !supersedes(announced);
        }
        boolean corrects = corrects(announced, namesService);
        if (!corrects) {
            mRival = Optional.of(announced);
            mRivalExpiresAt = now + ANNOUNCEMENT_TIMEOUT_MILLIS;
            EventLog.line(Event.INPUT_UNREADABLE)
                    .with("input", "announcement")
                    .with("target", announced.id())
                    .with("field", "service")
                    .with("service", announced.service())
                    .with("known", mTarget.orElseThrow().service())
                    .write();
        }
        return corrects;
    }

    /**
     * Returns the recent announcement that must replace the known target as a new configuration
     * names only its service, and forgets it; empty if there is none.
     *
     * @param namesService whether the configuration names a service
     * @param now in milliseconds since the epoch
     */
    Optional<TargetIncarnation> takeCorrection(Predicate<String> namesService, long now) {
        Optional<TargetIncarnation> correction =
                mRival.filter(rival -> now < mRivalExpiresAt && corrects(rival, namesService));
        if (correction.isPresent()) {
            mRival = Optional.empty();
        }
        return correction;
    }

    private boolean corrects(TargetIncarnation announced, Predicate<String> namesService) {
        return namesService.test(announced.service())
                && mTarget.filter(known -> namesService.test(known.service())).isEmpty();
    }

    /**
     * Returns whether an announcement is not newer than what is known: it was repeated, delayed in
     * transit or comes from an earlier incarnation.
     */
    private boolean supersedes(TargetIncarnation announced) {
        return mTarget.filter(known ->
                        announced.sameIncarnation(known)
                                ? announced.sequence() <= known.sequence()
                                : announced.startedAt() < known.startedAt())
                .isPresent();
    }

    /**
     * Returns the incarnation that has answered a poll, if it has started under the target's name
     * after the known one.
     */
    Optional<TargetIncarnation> restarted(RunSnapshot snapshot, long now) {
        return mTarget.filter(known -> snapshot.startedAt() > known.startedAt())
                .filter(known -> AnnouncementCheck.plausibleStart(snapshot.startedAt(), now))
                .map(known -> known.restartedAt(snapshot.startedAt(), snapshot.clock()));
    }
}
