package org.jackdawsaddle.internal.pool.sidecar;

import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.internal.pool.TaskNames;

/** Builds the log lines about a run. */
final class RunLog {
    private RunLog() {}

    /** Returns a line that names the run, to be completed and written. */
    static EventLog.Line line(Event event, Run run) {
        return EventLog.line(event)
                .with("job", TaskNames.jobOf(run.task()))
                .with("task", run.task())
                .with("run", run.run());
    }

    /** Writes that the sidecar stops a run, for another reason than an order of its entry. */
    static void stopped(Run run, String reason) {
        line(Event.RUN_STOPPED, run).with("reason", reason).write();
    }
}
