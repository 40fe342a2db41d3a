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

/** Submits jobs to a fleet of processes at a steady rate and checks the invariants at the end. */
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

    ProcessLoad(ProcessFleet fleet, List<String> addresses) {
        mFleet = fleet;
        mCaller = new JobCaller(fleet.mHttpClient, fleet.mClock, addresses, Deployment.FJORDHORN);
    }

    /** Submits jobs at a fixed interval for the given time. */
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
     * Waits for all answers and checks that they are consistent, that jobs refused as not run were
     * not started, and that no task was started twice.
     *
     * @return the number of jobs by outcome
     */
    Outcomes awaitAndCheck() {
        Outcomes outcomes = new Outcomes();
        List<JobResponse> responses =
                mPendingResponses.stream().map(CompletableFuture::join).toList();
        Map<String, Integer> startCounts = mFleet.startCounts();
        for (JobResponse response : responses) {
            outcomes.add(response);
            if (!response.consistent()) {
                throw new AssertionError("incomplete or contradictory answer: " + response);
            }
            boolean started =
                    startCounts.keySet().stream().anyMatch(task -> task.startsWith(response.id()));
            if (response.notRun() && started) {
                throw new AssertionError("refused as not run, but started: " + response);
            }
        }
        startCounts.forEach((task, count) -> {
            if (count > 1) {
                throw new AssertionError("started " + count + " times: " + task);
            }
        });
        System.out.println("processes: " + outcomes);
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
