package org.jackdawsaddle.internal.pool.sidecar;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.internal.message.PoolMessage.Run;

/** How the runs that have ended lately ended; the oldest are forgotten beyond a fixed number. */
final class RecentEnds {
    private static final int MAX_RUNS = 2_000;

    private final Map<Run, ReportKind> mKinds =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Run, ReportKind> eldest) {
                    return size() > MAX_RUNS;
                }
            };

    void add(Run run, ReportKind kind) {
        mKinds.put(run, kind);
    }

    Optional<ReportKind> find(Run run) {
        return Optional.ofNullable(mKinds.get(run));
    }
}
