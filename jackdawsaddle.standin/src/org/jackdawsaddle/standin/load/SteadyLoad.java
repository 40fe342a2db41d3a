package org.jackdawsaddle.standin.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.jackdawsaddle.internal.http.HttpClient;
import org.jackdawsaddle.internal.http.HttpRequest;
import org.jackdawsaddle.internal.http.HttpResponse;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.job.TaskRequest;

/** Submits jobs of equal size at a fixed rate, or more slowly at the limit of jobs in flight. */
public final class SteadyLoad {
    private static final long RESPONSE_TIMEOUT_MILLIS = 20_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int OK = 200;

    /** The body of a request that submits a job. */
    private record Body(String team, String kind, List<TaskRequest> tasks) {}

    private final HttpClient mHttpClient;
    private final UnixClock mClock;
    private final List<String> mEntryAddresses;
    private final String mBody;
    private final int mTasksPerJob;
    private final AtomicLong mCompleteJobs = new AtomicLong();
    private final AtomicLong mIncompleteJobs = new AtomicLong();
    private final AtomicLong mJobsInFlight = new AtomicLong();
    private final ResponseTimes mResponses = new ResponseTimes();

    /**
     * Creates a load.
     *
     * @param entries the HTTP addresses of the entries, as host:port
     * @param team the team that submits the jobs
     * @param kind the kind of all jobs
     * @param tasks the number of tasks of each job
     */
    public SteadyLoad(
            HttpClient httpClient,
            UnixClock clock,
            List<String> entries,
            String team,
            String kind,
            int tasks) {
        mHttpClient = httpClient;
        mClock = clock;
        mEntryAddresses = List.copyOf(entries);
        mTasksPerJob = tasks;
        List<TaskRequest> requests = new ArrayList<>();
        for (int index = 0; index < tasks; index++) {
            requests.add(new TaskRequest("0 work", 1));
        }
        mBody = Json.write(new Body(team, kind, requests));
    }

    /**
     * Submits jobs and waits for the last responses.
     *
     * @param seconds for how long jobs are submitted, in seconds
     * @param tasksPerSecond the rate of tasks over all jobs
     * @param callers the limit of jobs in flight
     */
    public void run(double seconds, double tasksPerSecond, int callers) {
        long start = System.nanoTime();
        double intervalNanos = NANOS_PER_SECOND * mTasksPerJob / tasksPerSecond;
        for (long number = 0; number * intervalNanos < seconds * NANOS_PER_SECOND; number++) {
            parkUntil(start + (long) (number * intervalNanos));
            while (mJobsInFlight.get() >= callers) {
                LockSupport.parkNanos(1);
            }
            submit(number);
            if (System.nanoTime() - start > seconds * NANOS_PER_SECOND) {
                break;
            }
        }
        while (mJobsInFlight.get() > 0) {
            LockSupport.parkNanos(1_000_000);
        }
    }

    /** Returns the number of tasks in jobs with complete answers. */
    public long completeTasks() {
        return mCompleteJobs.get() * mTasksPerJob;
    }

    /** Returns the number of jobs that were refused, failed or got no response. */
    public long incompleteJobs() {
        return mIncompleteJobs.get();
    }

    /** Returns the response times of the jobs with complete answers. */
    public ResponseTimes responses() {
        return mResponses;
    }

    private void submit(long number) {
        String address = mEntryAddresses.get((int) (number % mEntryAddresses.size()));
        long start = System.nanoTime();
        mJobsInFlight.incrementAndGet();
        mHttpClient
                .send(
                        new HttpRequest(
                                "POST",
                                address,
                                "/v1/jobs",
                                mBody,
                                mClock.now() + RESPONSE_TIMEOUT_MILLIS))
                .whenComplete((response, failure) -> onResponse(response, failure, start));
    }

    private void onResponse(HttpResponse response, Throwable failure, long start) {
        if (failure == null && response.status() == OK) {
            mCompleteJobs.incrementAndGet();
            mResponses.add((System.nanoTime() - start) / 1e6);
        } else {
            mIncompleteJobs.incrementAndGet();
        }
        mJobsInFlight.decrementAndGet();
    }

    private static void parkUntil(long nanos) {
        long remaining = nanos - System.nanoTime();
        while (remaining > 0) {
            LockSupport.parkNanos(remaining);
            remaining = nanos - System.nanoTime();
        }
    }
}
