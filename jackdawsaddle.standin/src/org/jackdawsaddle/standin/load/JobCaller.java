package org.jackdawsaddle.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jackdawsaddle.internal.http.HttpClient;
import org.jackdawsaddle.internal.http.HttpRequest;
import org.jackdawsaddle.internal.http.HttpResponse;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.job.SubmissionId;
import org.jackdawsaddle.job.TaskRequest;
import org.jackdawsaddle.standin.fleet.Deployment;
import org.jackdawsaddle.standin.target.TargetStandIn;

/**
 * A caller that chooses its own submission ids, may resubmit through another entry, and checks the
 * answers.
 */
public final class JobCaller {
    private static final long RESPONSE_TIMEOUT_MILLIS = 40_000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int OK = 200;

    /** The body of a request that submits a job. */
    private record Body(String team, String kind, List<TaskRequest> tasks) {}

    /**
     * The result of a submission.
     *
     * @param id the submission id
     * @param outcome complete, not-run or failed as in the response; lost if there was none
     * @param consistent false if a complete answer lacks the answer of a task or has them out of
     *     order, or if the answers to two submissions contradict each other
     * @param millis the response time in milliseconds; of the first submission, unless that was
     *     lost, if there were two
     */
    public record JobResponse(String id, String outcome, boolean consistent, double millis) {
        /**
         * Merges the responses to two submissions of one id; inconsistent if one is complete and
         * the other says that the job was not run.
         */
        JobResponse merge(JobResponse other) {
            if (lost()) {
                return other;
            }
            boolean contradictory = complete() && other.notRun() || notRun() && other.complete();
            JobResponse kept = other.complete() || notRun() && !other.lost() ? other : this;
            return new JobResponse(
                    id, kept.outcome, consistent && other.consistent && !contradictory, millis);
        }

        /** Returns whether the request failed without a response. */
        public boolean lost() {
            return outcome.equals("lost");
        }

        /** Returns whether all tasks were answered. */
        public boolean complete() {
            return outcome.equals("complete");
        }

        /** Returns whether the response says that no task of the job has run. */
        public boolean notRun() {
            return outcome.equals("not-run");
        }
    }

    private final HttpClient mHttpClient;
    private final UnixClock mClock;
    private final List<String> mEntryAddresses;
    private final Deployment mDeployment;
    private final SecureRandom mRandom = new SecureRandom();

    /**
     * Creates a caller.
     *
     * @param addresses the HTTP addresses of the entries, as host:port
     * @param deployment determines the team and the job kinds
     */
    public JobCaller(
            HttpClient httpClient, UnixClock clock, List<String> addresses, Deployment deployment) {
        mHttpClient = httpClient;
        mClock = clock;
        mEntryAddresses = List.copyOf(addresses);
        mDeployment = deployment;
    }

    /**
     * Submits a job.
     *
     * @param number selects the entry, modulo the number of entries, from 0
     * @param resubmit whether to submit the same id through the next entry as well, at the same
     *     time
     * @return the response, merged from both if the job was resubmitted
     */
    public CompletableFuture<JobResponse> submit(int number, WorkloadJob job, boolean resubmit) {
        SubmissionId id = SubmissionId.create(mClock.now(), mRandom);
        List<TaskRequest> tasks = new ArrayList<>();
        for (int index = 0; index < job.tasks().size(); index++) {
            WorkloadTask task = job.tasks().get(index);
            String payload = TargetStandIn.payload(task.workMillis(), id + "/" + index);
            tasks.add(new TaskRequest(payload, task.declaredMillis()));
        }
        String kind = tasks.size() == 1 ? mDeployment.writeKind() : mDeployment.batchKind();
        String body = Json.write(new Body(mDeployment.team(), kind, tasks));
        CompletableFuture<JobResponse> first = send(number, id, tasks.size(), body);
        if (!resubmit) {
            return first;
        }
        CompletableFuture<JobResponse> second = send(number + 1, id, tasks.size(), body);
        return first.thenCombine(second, JobResponse::merge);
    }

    private CompletableFuture<JobResponse> send(
            int number, SubmissionId id, int tasks, String body) {
        String address = mEntryAddresses.get(number % mEntryAddresses.size());
        long start = System.nanoTime();
        long deadline = mClock.now() + RESPONSE_TIMEOUT_MILLIS;
        return mHttpClient
                .send(new HttpRequest("PUT", address, "/v1/jobs/" + id, body, deadline))
                .handle((response, failure) -> {
                    double millis = (System.nanoTime() - start) / NANOS_PER_MILLI;
                    return failure == null
                            ? parseResponse(id, tasks, response, millis)
                            : new JobResponse(id.toString(), "lost", true, millis);
                });
    }

    private static JobResponse parseResponse(
            SubmissionId id, int tasks, HttpResponse response, double millis) {
        JsonNode body = Json.read(response.body(), JsonNode.class);
        boolean consistent = response.status() != OK || body.path("answers").size() == tasks;
        for (int index = 0; response.status() == OK && index < tasks; index++) {
            String expected = "done " + id + "/" + index;
            consistent &= body.path("answers").path(index).asText().equals(expected);
        }
        return new JobResponse(id.toString(), body.path("outcome").asText(), consistent, millis);
    }
}
