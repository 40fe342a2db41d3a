package org.jackdawsaddle.internal.pool.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.internal.message.PoolMessage.TaskReport;

/** Ends runs: removes them from those that are held, and reports how they ended. */
final class RunEnds {
    private final HeldRuns mHeldRuns;
    private final RunReporter mReporter;
    private final Consumer<PoolSidecarCounter> mCounter;
    private final RecentEnds mRecentEnds = new RecentEnds();

    RunEnds(HeldRuns heldRuns, RunReporter reporter, Consumer<PoolSidecarCounter> counter) {
        mHeldRuns = heldRuns;
        mReporter = reporter;
        mCounter = counter;
    }

    /** Returns how a run has ended lately. */
    Optional<ReportKind> find(Run run) {
        return mRecentEnds.find(run);
    }

    /** Ends a run as its target has reported. */
    void end(HeldRun held, ReportKind kind) {
        Run run = held.mStartTask.run();
        mHeldRuns.remove(held);
        mRecentEnds.add(run, kind);
        mReporter.report(held.mOwner, new TaskReport(run, kind));
    }

    /**
     * Ends a run that a snapshot of the incarnation that was ordered to start it does not list.
     *
     * @param silentMillis for how long the target was silent, in milliseconds
     */
    void endOmitted(HeldRun held, long silentMillis) {
        endLost(held, false, EndEvidence.OMITTED, silentMillis);
    }

    /**
     * Ends a run that a new incarnation of its target does not list.
     *
     * @param silentMillis for how long the target was silent, in milliseconds
     */
    void endReplaced(HeldRun held, long silentMillis) {
        endLost(held, true, EndEvidence.REPLACED, silentMillis);
    }

    /**
     * Ends the runs whose lease has expired; keeps those that the target may still start.
     *
     * @param crashed whether the target seems to have crashed
     * @param gone whether its process has ended, so that it starts nothing any more
     * @param silentMillis for how long the target was silent, in milliseconds
     */
    void endExpired(boolean crashed, boolean gone, long silentMillis) {
        List<HeldRun> expired = new ArrayList<>();
        for (HeldRun held : mHeldRuns.values()) {
            if (!gone && held.mayStartLater()) {
                keepPastLease(held);
            } else {
                expired.add(held);
            }
        }
        if (expired.isEmpty()) {
            return;
        }
        EventLog.line(Event.RUNS_LOST)
                .with("runs", expired.stream().map(held -> held.mStartTask.run()).toList())
                .with("silent_ms", silentMillis)
                .with("crashed", crashed)
                .write();
        expired.forEach(held -> endLost(held, crashed, EndEvidence.LEASE_EXPIRED, silentMillis));
    }

    private void keepPastLease(HeldRun held) {
        if (!held.mKeptPastLease) {
            held.mKeptPastLease = true;
            mCounter.accept(PoolSidecarCounter.RUNS_KEPT_PAST_LEASE);
            RunLog.line(Event.RUN_KEPT, held.mStartTask.run())
                    .with("target", held.mTarget.id())
                    .write();
        }
    }

    private void endLost(HeldRun held, boolean crashed, EndEvidence evidence, long silentMillis) {
        mCounter.accept(PoolSidecarCounter.RUNS_LOST);
        mCounter.accept(RunOutcomes.counterOf(evidence));
        RunLog.lost(held, evidence, silentMillis);
        if (crashed && held.mayHaveCrashedTarget()) {
            reportSuspect(held);
            end(held, ReportKind.CRASHED);
        } else {
            end(held, ReportKind.ENDED);
        }
    }

    /** Reports the runs that may have crashed the target, and may still be active. */
    void reportSuspects() {
        mHeldRuns.values().stream()
                .filter(HeldRun::mayHaveCrashedTarget)
                .forEach(this::reportSuspect);
    }

    private void reportSuspect(HeldRun held) {
        if (!held.mSuspected) {
            held.mSuspected = true;
            mReporter.report(held.mOwner, held.suspectedReport());
        }
    }
}
