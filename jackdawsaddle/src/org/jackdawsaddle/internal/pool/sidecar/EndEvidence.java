package org.jackdawsaddle.internal.pool.sidecar;

import java.util.Locale;

/** Why a sidecar counts a run as ended although its target has not reported the end. */
enum EndEvidence {
    /** A snapshot of the incarnation that was ordered to start the run does not list it. */
    OMITTED,
    /** A new incarnation of the target answers and does not list the run. */
    REPLACED,
    /** The lease of the target's runs has expired. */
    LEASE_EXPIRED;

    /** Returns the name used in the logs: lower case, with hyphens. */
    String logName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
