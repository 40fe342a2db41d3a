package org.jackdawsaddle.internal.pool;

/** Names of tasks: the job's id, the occurrence, the step and the index, parted by points. */
final class TaskNames {
    private static final int FIRST_OCCURRENCE = 0;

    private TaskNames() {}

    static String of(String job, int step, int index) {
        return job + "." + FIRST_OCCURRENCE + "." + step + "." + index;
    }

    static String jobOf(String task) {
        int point = task.indexOf('.');
        return point < 0 ? task : task.substring(0, point);
    }
}
