package org.jackdawsaddle.pool;

/**
 * A queue of jobs of one kind.
 *
 * @param name unique among queues
 * @param host the host name in the requests of callers
 * @param prefix the start of the path in the requests of callers, from / to /
 * @param service the service whose targets run the tasks
 * @param priority 0 or more; queues with a lower number are served first
 * @param maxAttempts the number of failed runs of one task at which its job fails, 1 or more; 1
 *     allows no retry
 * @param stretch the response time objective as a multiple of the expected run time of the longest
 *     task, 1 or more
 * @param targetMillis added to that multiple, in milliseconds
 * @param patienceMillis how long callers wait at least for the answer to their first request for a
 *     job, in milliseconds; for longer jobs they wait longer. A request with less time left is
 *     taken for a resend. 0 if unknown
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
