package org.jackdawsaddle.standin.load;

import java.util.Map;

/**
 * What one policy did with a workload.
 *
 * @param policy the policy
 * @param responses response times of the jobs that were answered whole
 * @param messagesPerTask messages between processes of the system for each task
 * @param messagesByType the same by type, for the product only
 * @param notRun jobs refused as not run
 * @param failed jobs that failed
 * @param doubled tasks that were started more than once
 * @param goodput the work of the jobs answered whole by the end of the workload, as a share of the
 *     capacity after the warm-up; 0 for models
 * @param refusalP99Millis the 99th percentile of the time to a refusal, 0 without refusals
 */
public record PolicyResult(
        Policy policy,
        ResponseTimes responses,
        double messagesPerTask,
        Map<String, Double> messagesByType,
        long notRun,
        long failed,
        long doubled,
        double goodput,
        double refusalP99Millis) {}
