package org.jackdawsaddle.internal.pool.sidecar;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.Optional;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.pool.TargetIncarnation;

/**
 * Tells what can be the announcement of a real target from an odd entry of another writer, which
 * must not take the target's place: the target's own announcements would count as outdated.
 */
public final class AnnouncementCheck {
    /** No machine has more of any resource, counted in cores, megabytes or accelerators. */
    private static final long MAX_AMOUNT = 1_000_000_000;

    /** No monotonic clock shows more: some 30,000 years. */
    private static final long MAX_CLOCK_MILLIS = 1_000_000_000_000_000L;

    /** How far the clock of the target's instance may be ahead of the sidecar's. */
    private static final long MAX_CLOCK_LEAD_MILLIS = 3_600_000;

    private static final int MAX_PORT = 65_535;

    private AnnouncementCheck() {}

    /**
     * Returns whether an incarnation can be that of a real target; logs it if not.
     *
     * @param now the current time in milliseconds since the epoch
     */
    public static boolean plausible(TargetIncarnation target, long now) {
        Optional<String> oddField = oddField(target, now);
        oddField.ifPresent(field ->
                EventLog.line(Event.INPUT_UNREADABLE)
                        .with("input", "announcement")
                        .with("target", target.id())
                        .with("field", field)
                        .write());
        return oddField.isEmpty();
    }

    /** Returns the name of the first field without a plausible value; empty if all have one. */
    static Optional<String> oddField(TargetIncarnation target, long now) {
        if (missing(target.id())) {
            return Optional.of("id");
        }
        if (missing(target.service())) {
            return Optional.of("service");
        }
        if (missing(target.address()) || !isHostAndPort(target.address())) {
            return Optional.of("address");
        }
        if (target.capacity() == null || !plausible(target.capacity())) {
            return Optional.of("capacity");
        }
        if (!inRange(target.clock(), MAX_CLOCK_MILLIS)) {
            return Optional.of("clock");
        }
        return plausibleStart(target.startedAt(), now)
                ? Optional.empty()
                : Optional.of("startedAt");
    }

    /**
     * Returns whether an incarnation can have started at a time.
     *
     * @param startedAt in milliseconds since the epoch
     * @param now the current time in milliseconds since the epoch
     */
    static boolean plausibleStart(long startedAt, long now) {
        return inRange(startedAt, now + MAX_CLOCK_LEAD_MILLIS);
    }

    private static boolean missing(String text) {
        return text == null || text.isBlank();
    }

    /** Does not resolve host names. */
    private static boolean isHostAndPort(String address) {
        try {
            URI uri = new URI("http://" + address);
            return uri.getHost() != null
                    && address.equals(uri.getRawAuthority())
                    && uri.getUserInfo() == null
                    && uri.getPort() >= 1
                    && uri.getPort() <= MAX_PORT;
        } catch (URISyntaxException e) {
            return false;
        }
    }

    private static boolean plausible(Demand capacity) {
        return inRange(capacity.cores(), MAX_AMOUNT)
                && inRange(capacity.memoryMegabytes(), MAX_AMOUNT)
                && inRange(capacity.accelerators(), MAX_AMOUNT);
    }

    private static boolean inRange(double value, long max) {
        return value >= 0 && value <= max;
    }
}
