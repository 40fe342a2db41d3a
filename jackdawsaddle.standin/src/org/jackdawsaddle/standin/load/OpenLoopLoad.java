package org.jackdawsaddle.standin.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.DoubleAdder;
import java.util.concurrent.locks.LockSupport;
import org.jackdawsaddle.internal.http.HttpRequest;
import org.jackdawsaddle.internal.http.HttpResponse;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.job.TaskRequest;
import org.jackdawsaddle.standin.fleet.Deployment;
import org.jackdawsaddle.standin.fleet.LocalFleet;
import org.jackdawsaddle.standin.fleet.LocalTarget;
import org.jackdawsaddle.standin.target.TargetStandIn;

/**
 * Submits a workload to a fleet over HTTP and measures the responses. The load is open-loop:
 * arrivals do not wait for answers. Response times count from the intended arrival, so that late
 * submissions are not hidden.
 */
public final class OpenLoopLoad {
    private static final int OK = 200;
    private static final long RESPONSE_TIMEOUT_MILLIS = 60_000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double FAULT_LEAD_MILLIS = 3_000;

    private record Body(String team, String kind, long timeoutMillis, List<TaskRequest> tasks) {}

    private final LocalFleet mFleet;
    private final Deployment mDeployment;
    private final Workload mWorkload;
    private final double mWarmUpMillis;
    private final long mTimeoutMillis;
    private final TargetFault mFault;

    /** Response times of the jobs with complete answers. */
    private final ResponseTimes mCompleteTimes = new ResponseTimes();

    /** Response times of the jobs that were not run. */
    private final ResponseTimes mNotRunTimes = new ResponseTimes();

    private final AtomicLong mNotRunJobs = new AtomicLong();
    private final AtomicLong mFailedJobs = new AtomicLong();

    /** The work, at speed 1, of the jobs with complete answers before the last arrival. */
    private final DoubleAdder mCompleteWorkMillis = new DoubleAdder();

    /** The work, in milliseconds at speed 1, that the fleet can do per millisecond. */
    private final double mWorkPerMilli;

    /** The intended time of the last arrival, as a reading of {@link System#nanoTime}. */
    private volatile long mLastArrivalNanos;

    /**
     * Creates a load.
     *
     * @param warmUpMillis the warm-up, in milliseconds from the start of the workload; jobs that
     *     arrive earlier are not measured
     * @param timeoutMillis the timeout of each job, counted from its arrival at the entry, in
     *     milliseconds
     * @param fault the fault that is injected three seconds before the warm-up ends, into the
     *     target in the middle of the fleet's list; in a fleet of {@link
     *     org.jackdawsaddle.standin.fleet.FleetSpec#deployment} it has the median speed
     */
    public OpenLoopLoad(
            LocalFleet fleet,
            Deployment deployment,
            Workload workload,
            double warmUpMillis,
            long timeoutMillis,
            TargetFault fault) {
        mFleet = fleet;
        mDeployment = deployment;
        mWorkload = workload;
        mWarmUpMillis = warmUpMillis;
        mTimeoutMillis = timeoutMillis;
        mFault = fault;
        mWorkPerMilli =
                fleet.targets().stream()
                        .mapToDouble(target -> target.spec().slots() * target.spec().speed())
                        .sum();
    }

    /** Submits every job at its arrival time and waits for all responses; call at most once. */
    public PolicyResult run() {
        Map<String, Long> messagesBefore = Map.of();
        long tasksBefore = 0;
        List<CompletableFuture<Void>> pending = new ArrayList<>();
        long start = System.nanoTime();
        mLastArrivalNanos = start + (long) (mWorkload.endMillis() * NANOS_PER_MILLI);
        boolean measuring = false;
        boolean faultInjected = false;
        for (int index = 0; index < mWorkload.jobs().size(); index++) {
            WorkloadJob job = mWorkload.jobs().get(index);
            long intendedNanos = start + (long) (job.arrivalMillis() * NANOS_PER_MILLI);
            parkUntil(intendedNanos);
            if (!faultInjected && job.arrivalMillis() >= mWarmUpMillis - FAULT_LEAD_MILLIS) {
                faultInjected = true;
                List<LocalTarget> targets = mFleet.targets();
                CompletableFuture.runAsync(() -> mFault.inject(targets.get(targets.size() / 2)));
            }
            if (!measuring && job.arrivalMillis() >= mWarmUpMillis) {
                measuring = true;
                messagesBefore = mFleet.messageCounts();
                tasksBefore = totalStarts();
            }
            pending.add(submit(index, job, intendedNanos));
        }
        CompletableFuture.allOf(pending.toArray(CompletableFuture[]::new)).join();
        return result(messagesBefore, totalStarts() - tasksBefore);
    }

    private PolicyResult result(Map<String, Long> messagesBefore, long tasks) {
        Map<String, Double> byType = new TreeMap<>();
        double sum = 0;
        for (Map.Entry<String, Long> type : mFleet.messageCounts().entrySet()) {
            double count = type.getValue() - messagesBefore.getOrDefault(type.getKey(), 0L);
            byType.put(type.getKey(), count / tasks);
            sum += count;
        }
        long duplicateStarts =
                mFleet.startCounts().values().stream().filter(count -> count > 1).count();
        return new PolicyResult(
                Policy.JACKDAWSADDLE,
                mCompleteTimes,
                sum / tasks,
                byType,
                mNotRunJobs.get(),
                mFailedJobs.get(),
                duplicateStarts,
                mCompleteWorkMillis.sum()
                        / (mWorkPerMilli * (mWorkload.endMillis() - mWarmUpMillis)),
                mNotRunTimes.count() > 0 ? mNotRunTimes.p99() : 0);
    }

    private long totalStarts() {
        return mFleet.startCounts().values().stream().mapToLong(Integer::longValue).sum();
    }

    private CompletableFuture<Void> submit(int index, WorkloadJob job, long intendedNanos) {
        List<String> addresses = mFleet.httpAddresses();
        String address = addresses.get(index % addresses.size());
        List<TaskRequest> tasks = new ArrayList<>();
        for (WorkloadTask task : job.tasks()) {
            String payload = TargetStandIn.payload(task.workMillis(), "trace");
            tasks.add(new TaskRequest(payload, task.declaredMillis()));
        }
        String kind = tasks.size() == 1 ? mDeployment.writeKind() : mDeployment.batchKind();
        String body = Json.write(new Body(mDeployment.team(), kind, mTimeoutMillis, tasks));
        long deadline = mFleet.clock().now() + RESPONSE_TIMEOUT_MILLIS;
        return mFleet.httpClient()
                .send(new HttpRequest("POST", address, "/v1/jobs", body, deadline))
                .handle((response, failure) -> {
                    if (job.arrivalMillis() >= mWarmUpMillis) {
                        double millis = (System.nanoTime() - intendedNanos) / NANOS_PER_MILLI;
                        recordResponse(job, response, failure, millis);
                    }
                    return null;
                });
    }

    private void recordResponse(
            WorkloadJob job, HttpResponse response, Throwable failure, double millis) {
        if (failure == null && response.status() == OK) {
            mCompleteTimes.add(millis);
            if (System.nanoTime() <= mLastArrivalNanos) {
                mCompleteWorkMillis.add(
                        job.tasks().stream().mapToDouble(WorkloadTask::workMillis).sum());
            }
        } else if (failure == null && response.body().contains("\"not-run\"")) {
            mNotRunJobs.incrementAndGet();
            mNotRunTimes.add(millis);
        } else {
            mFailedJobs.incrementAndGet();
        }
    }

    private static void parkUntil(long nanos) {
        long remaining = nanos - System.nanoTime();
        while (remaining > 0) {
            LockSupport.parkNanos(remaining);
            remaining = nanos - System.nanoTime();
        }
    }
}
