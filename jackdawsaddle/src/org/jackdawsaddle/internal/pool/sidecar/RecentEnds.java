package org.jackdawsaddle.internal.pool.sidecar;

import java.util.Optional;
import org.jackdawsaddle.internal.collection.BoundedMap;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.internal.message.PoolMessage.Run;

/** How the runs that have ended lately ended; the oldest are forgotten beyond a fixed number. */
final class RecentEnds {
    private static final int MAX_RUNS = 2_000;

    private final BoundedMap<Run, ReportKind> mKinds = new BoundedMap<>(MAX_RUNS);

    void add(Run run, ReportKind kind) {
        mKinds.put(run, kind);
    }

    Optional<ReportKind> find(Run run) {
        return Optional.ofNullable(mKinds.get(run));
    }
}
