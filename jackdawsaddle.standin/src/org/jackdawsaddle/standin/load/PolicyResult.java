package org.jackdawsaddle.standin.load;

import java.util.Map;

/**
 * The result of one policy on a workload.
 *
 * @param policy the policy that assigned the tasks
 * @param responses the response times of the jobs with complete answers
 * @param messagesPerTask the number of messages between processes of the system per task; those of
 *     the product are counted after the warm-up, those of simulated policies throughout
 * @param messagesByType the same by message type, for the product only
 * @param notRun the number of jobs reported as not run
 * @param failed the number of jobs that failed or got no response
 * @param duplicateStarts the number of tasks with duplicate starts
 * @param goodput the work of the jobs with complete answers before the last arrival, as a fraction
 *     of the fleet's capacity after the warm-up; 0 for simulated policies
 * @param refusalP99Millis the 99th percentile of the response times of the jobs reported as not
 *     run, in milliseconds; 0 without such jobs
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
