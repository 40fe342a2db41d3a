package org.jackdawsaddle.pool;

/**
 * A queue of jobs: one kind of request.
 *
 * @param name unique among queues
 * @param host the host name that callers use
 * @param prefix the start of the path that callers use
 * @param service the service whose targets run the tasks
 * @param priority 0 is served first
 * @param maxAttempts how often a task may fail before its job does
 * @param stretch the wanted response time as a multiple of the longest chain of tasks
 * @param targetMillis what is added to that, in milliseconds
 * @param patienceMillis what a caller waits at least, and the more the longer its job is; one that
 *     will wait for less has sent the job before; 0 if this is not known
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
