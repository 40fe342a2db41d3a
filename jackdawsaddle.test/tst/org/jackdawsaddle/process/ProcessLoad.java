package org.jackdawsaddle.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.jackdawsaddle.standin.fleet.Deployment;
import org.jackdawsaddle.standin.load.JobCaller;
import org.jackdawsaddle.standin.load.JobCaller.JobResponse;
import org.jackdawsaddle.standin.load.WorkloadJob;
import org.jackdawsaddle.standin.load.WorkloadTask;

/**
 * Submits jobs of random sizes to a fleet of processes at a fixed interval, and checks the
 * invariants at the end. Every third job is submitted through two entries.
 */
final class ProcessLoad {
    private static final int JOBS_PER_RESUBMISSION = 3;
    private static final int MAX_TASKS = 6;
    private static final int MAX_WORK_MILLIS = 250;
    private static final int MIN_WORK_MILLIS = 50;

    private final ProcessFleet mFleet;
    private final JobCaller mCaller;
    private final Random mRandom = new Random(1);
    private final List<CompletableFuture<JobResponse>> mPendingResponses = new ArrayList<>();
    private int mSubmittedJobs;

    /**
     * Creates a load.
     *
     * @param addresses where callers reach the entries to submit to, as host:port
     */
    ProcessLoad(ProcessFleet fleet, List<String> addresses) {
        mFleet = fleet;
        mCaller = new JobCaller(fleet.mHttpClient, fleet.mClock, addresses, Deployment.FJORDHORN);
    }

    /**
     * Submits jobs for a time without waiting for their answers.
     *
     * @param durationMillis for how long, in milliseconds
     * @param intervalMillis the pause between two jobs, in milliseconds
     */
    void run(long durationMillis, long intervalMillis) {
        long end = mFleet.mClock.now() + durationMillis;
        while (mFleet.mClock.now() < end) {
            mPendingResponses.add(
                    mCaller.submit(
                            mSubmittedJobs, job(), mSubmittedJobs % JOBS_PER_RESUBMISSION == 0));
            mSubmittedJobs++;
            ProcessFleet.sleep(intervalMillis);
        }
    }

    /**
     * Waits for all responses and checks that they are consistent, that no task of a job reported
     * as not run was started, and that no task was started twice.
     *
     * @return the number of jobs by outcome
     * @throws AssertionError if a check fails
     */
    Outcomes awaitAndCheck() {
        Outcomes outcomes = new Outcomes();
        List<JobResponse> responses =
                mPendingResponses.stream().map(CompletableFuture::join).toList();
        Map<String, Integer> startCounts = mFleet.startCounts();
        for (JobResponse response : responses) {
            outcomes.add(response);
            if (!response.consistent()) {
                throw new AssertionError(
                        "incomplete answer, or contradictory answers to two submissions: "
                                + response);
            }
            boolean started =
                    startCounts.keySet().stream().anyMatch(task -> task.startsWith(response.id()));
            if (response.notRun() && started) {
                throw new AssertionError(
                        "reported as not run, but a task was started: " + response);
            }
        }
        startCounts.forEach((task, count) -> {
            if (count > 1) {
                throw new AssertionError("started " + count + " times: " + task);
            }
        });
        System.out.println("jobs by outcome: " + outcomes);
        return outcomes;
    }

    private WorkloadJob job() {
        int tasks = mRandom.nextInt(3) == 0 ? 2 + mRandom.nextInt(MAX_TASKS - 1) : 1;
        List<WorkloadTask> list = new ArrayList<>();
        for (int index = 0; index < tasks; index++) {
            int work = MIN_WORK_MILLIS + mRandom.nextInt(MAX_WORK_MILLIS - MIN_WORK_MILLIS);
            list.add(new WorkloadTask(work, work));
        }
        return new WorkloadJob(0, list);
    }

    /** The number of jobs by outcome, and the slowest response. */
    static final class Outcomes {
        int mCompleteJobs;
        int mNotRunJobs;
        int mFailedJobs;
        int mLostJobs;
        double mSlowestMillis;

        void add(JobResponse response) {
            switch (response.outcome()) {
                case "complete" -> mCompleteJobs++;
                case "not-run" -> mNotRunJobs++;
                case "failed" -> mFailedJobs++;
                default -> mLostJobs++;
            }
            mSlowestMillis = Math.max(mSlowestMillis, response.millis());
        }

        int total() {
            return mCompleteJobs + mNotRunJobs + mFailedJobs + mLostJobs;
        }

        @Override
        public String toString() {
            return "complete "
                    + mCompleteJobs
                    + ", not run "
                    + mNotRunJobs
                    + ", failed "
                    + mFailedJobs
                    + ", lost "
                    + mLostJobs
                    + ", slowest "
                    + Math.round(mSlowestMillis)
                    + " ms";
        }
    }
}
