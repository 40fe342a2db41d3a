package org.jackdawsaddle.pool;

/**
 * A queue of jobs of one kind.
 *
 * @param name unique among queues
 * @param host the host name that callers use
 * @param prefix the start of the path that callers use
 * @param service the service whose targets run the tasks
 * @param priority 0 is served first
 * @param maxAttempts how often a task may fail before its job fails
 * @param stretch the response time objective as a multiple of the run time of the longest chain of
 *     tasks
 * @param targetMillis added to that multiple, in milliseconds
 * @param patienceMillis the least time for which callers wait when they first send a job, more for
 *     longer jobs, in milliseconds; a caller that waits for less has sent the job before; 0 if
 *     unknown
 */
public record PoolQueue(
        String name,
        String host,
        String prefix,
        String service,
        int priority,
        int maxAttempts,
        double stretch,
        long targetMillis,
        long patienceMillis) {}
