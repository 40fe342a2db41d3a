package org.jackdawsaddle.internal.pool.sidecar;

import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.pool.RunSnapshot;

/** How the outcomes that a target reports are passed on to entries and counted. */
final class RunOutcomes {
    private RunOutcomes() {}

    static ReportKind kindOf(RunSnapshot.Outcome outcome) {
        return switch (outcome) {
            case DONE -> ReportKind.DONE;
            case FAILED -> ReportKind.FAILED;
            case CUT_OFF -> ReportKind.ENDED;
        };
    }

    static PoolSidecarCounter counterOf(EndEvidence evidence) {
        return switch (evidence) {
            case OMITTED -> PoolSidecarCounter.RUNS_LOST_OMITTED;
            case REPLACED -> PoolSidecarCounter.RUNS_LOST_REPLACED;
            case LEASE_EXPIRED -> PoolSidecarCounter.RUNS_LOST_LEASE_EXPIRED;
        };
    }

    static PoolSidecarCounter counterOf(RunSnapshot.Outcome outcome) {
        return switch (outcome) {
            case DONE -> PoolSidecarCounter.RUNS_DONE;
            case FAILED -> PoolSidecarCounter.RUNS_FAILED;
            case CUT_OFF -> PoolSidecarCounter.RUNS_CUT_OFF;
        };
    }
}
