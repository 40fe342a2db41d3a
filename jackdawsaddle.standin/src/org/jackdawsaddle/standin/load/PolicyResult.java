package org.jackdawsaddle.standin.load;

import java.util.Map;

/**
 * The result of one policy on a workload.
 *
 * @param policy the policy
 * @param responses the response times of the jobs with complete answers
 * @param messagesPerTask the number of messages between processes of the system per task
 * @param messagesByType the same by message type, for the product only
 * @param notRun the number of jobs refused as not run
 * @param failed the number of jobs that failed
 * @param duplicateStarts the number of tasks with duplicate starts
 * @param goodput the work of the jobs with complete answers by the end of the workload, as a
 *     fraction of the capacity after the warm-up; 0 for simulated policies
 * @param refusalP99Millis the 99th percentile of the time to a refusal, 0 without refusals
 */
public record PolicyResult(
        Policy policy,
        ResponseTimes responses,
        double messagesPerTask,
        Map<String, Double> messagesByType,
        long notRun,
        long failed,
        long duplicateStarts,
        double goodput,
        double refusalP99Millis) {}
