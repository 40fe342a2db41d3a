package org.jackdawsaddle.internal.pool.sidecar;

import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.internal.pool.TaskNames;

/** Log lines about single runs. */
final class RunLog {
    /** Starts a line that names a run, its task and its job. */
    static EventLog.Line line(Event event, Run run) {
        return EventLog.line(event)
                .with("job", TaskNames.jobOf(run.task()))
                .with("task", run.task())
                .with("run", run.run());
    }

    /** Writes why a run is stopped. */
    static void stopped(Run run, String reason) {
        line(Event.RUN_STOPPED, run).with("reason", reason).write();
    }

    /**
     * Writes why a run counts as ended although its target has not reported the end.
     *
     * @param silentMillis for how long the target has been silent, in milliseconds
     */
    static void lost(HeldRun held, EndEvidence evidence, long silentMillis) {
        line(Event.RUN_LOST, held.mStartTask.run())
                .with("target", held.mTarget.id())
                .with("evidence", evidence.logName())
                .with("state", held.mState)
                .with("silent_ms", silentMillis)
                .write();
    }

    private RunLog() {}
}
