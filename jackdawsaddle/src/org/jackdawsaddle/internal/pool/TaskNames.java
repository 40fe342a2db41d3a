package org.jackdawsaddle.internal.pool;

/** Builds and parses task names: job id, occurrence, step and index, separated by dots. */
public final class TaskNames {
    /** Jobs that a schedule runs repeatedly are not supported. */
    private static final int FIRST_OCCURRENCE = 0;

    private TaskNames() {}

    /** Returns the name of the task with an index in a step of a job. */
    public static String of(String job, int step, int index) {
        return job + "." + FIRST_OCCURRENCE + "." + step + "." + index;
    }

    /** Returns the job id in a task name; the whole name if it contains no dot. */
    public static String jobOf(String task) {
        int dot = task.indexOf('.');
        return dot < 0 ? task : task.substring(0, dot);
    }
}
