package org.jackdawsaddle.internal.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.ConfigurationSet;
import org.jackdawsaddle.config.JobKind;
import org.jackdawsaddle.config.ServiceObject;
import org.jackdawsaddle.errors.ErrorCode;
import org.jackdawsaddle.internal.message.PeerMessage.CancelJob;
import org.jackdawsaddle.internal.message.PeerMessage.JobMoved;
import org.jackdawsaddle.internal.message.PeerMessage.QueryJob;
import org.jackdawsaddle.internal.message.PeerMessage.SubmitJob;
import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.JobRequest;
import org.jackdawsaddle.job.SubmissionId;

/**
 * Passes each caller's job to the owner of its partition, and keeps a job that it forwards to a
 * peer until it is answered. If the owner changes or its connection is lost, the job is forwarded
 * again. A kept job without an answer {@link #ANSWER_GRACE_MILLIS} after its deadline fails with
 * OWNER_UNREACHABLE.
 */
final class RoutingController {
    /** How long after its deadline a job still waits for the answer of its owner. */
    private static final long ANSWER_GRACE_MILLIS = 1_000;

    /** The delay before a job is forwarded again that a peer did not accept. */
    private static final long REROUTE_DELAY_MILLIS = 100;

    private static final long QUERY_TIMEOUT_MILLIS = 2_000;

    /** A job that is forwarded or waits for an owner. */
    private static final class Route {
        final JobRequest mRequest;
        final int mPartition;

        /** The peer to which the job was forwarded, or empty while it waits for an owner. */
        Optional<NodeId> mSentTo = Optional.empty();

        /** The job is not forwarded before this time, in milliseconds since the epoch. */
        long mNextSendAt;

        Route(JobRequest request, int partition) {
            mRequest = request;
            mPartition = partition;
        }
    }

    private final EntryState mState;
    private final DispatchController mDispatch;

    /** The jobs that are forwarded or wait for an owner, by the token of the caller's request. */
    private final Map<Long, Route> mRoutes = new LinkedHashMap<>();

    /** By token: when a forwarded query times out, in milliseconds since the epoch. */
    private final Map<Long, Long> mQueryExpiries = new LinkedHashMap<>();

    RoutingController(EntryState state, DispatchController dispatch) {
        mState = state;
        mDispatch = dispatch;
    }

    /**
     * Handles a caller's job: refuses it if it is invalid, else routes it to the owner of its
     * partition. A job without a deadline gets that of its kind's timeout.
     */
    void submit(long token, JobRequest request) {
        mState.count(EntryCounter.JOBS_SUBMITTED);
        Optional<JobAnswer> refusal = new RequestValidator(mState).refusal(request);
        if (refusal.isPresent()) {
            mState.mOutbox.answerCaller(token, refusal.get());
            return;
        }
        JobKind kind = mState.mHead.set().jobKind(request.kind()).orElseThrow();
        long latest = mState.mNow + kind.timeoutMillis();
        JobRequest withDeadline = request.deadline() > 0 ? request : request.withDeadline(latest);
        route(token, withDeadline);
    }

    /**
     * Handles a job that a peer has forwarded; answers with JobMoved if this entry does not own the
     * partition of the job.
     */
    void onSubmitted(NodeId peer, SubmitJob submit) {
        JobRequest request = submit.request().withDeadline(mState.mNow + submit.remainingMillis());
        Optional<OwnedPartition> owned =
                serviceOf(request).flatMap(service -> ownedPartitionFor(service, request.id()));
        if (owned.isPresent()) {
            mDispatch.submit(owned.get(), request, new Waiter.Peer(peer, submit.token()));
        } else {
            mState.mOutbox.sendToPeer(peer, new JobMoved(submit.token()));
        }
    }

    /**
     * Relays a peer's answer to a forwarded job or query to the caller. An answer to a job from a
     * peer to which it is no longer forwarded is dropped, since the new owner may decide otherwise.
     */
    void onAnswered(NodeId peer, long token, JobAnswer answer) {
        if (mQueryExpiries.remove(token) != null || routeSentTo(peer, token).isPresent()) {
            mRoutes.remove(token);
            mState.mOutbox.answerCaller(token, answer);
        }
    }

    /**
     * Handles the notice of a peer that it does not own the partition of a forwarded job: the job
     * is routed again after a delay.
     */
    void onMoved(NodeId peer, long token) {
        Optional<Route> moved = routeSentTo(peer, token);
        if (moved.isPresent()) {
            Route route = moved.get();
            route.mSentTo = Optional.empty();
            route.mNextSendAt = mState.mNow + REROUTE_DELAY_MILLIS;
        }
    }

    /** Marks the jobs that were forwarded to a disconnected peer to be forwarded again. */
    void onPeerLost(NodeId peer) {
        for (Route route : mRoutes.values()) {
            if (route.mSentTo.filter(peer::equals).isPresent()) {
                route.mSentTo = Optional.empty();
            }
        }
    }

    /**
     * Forwards the jobs that wait for an owner, and fails the jobs and queries that were not
     * answered in time.
     */
    void onTick() {
        expireQueries();
        for (Map.Entry<Long, Route> entry : List.copyOf(mRoutes.entrySet())) {
            Route route = entry.getValue();
            long giveUpAt = route.mRequest.deadline() + ANSWER_GRACE_MILLIS;
            if (mState.mNow >= giveUpAt) {
                mRoutes.remove(entry.getKey());
                String detail = "partition " + route.mPartition;
                mState.mOutbox.answerCaller(
                        entry.getKey(), new JobAnswer.Failed(ErrorCode.OWNER_UNREACHABLE, detail));
            } else {
                resetIfOwnerChanged(route);
                send(entry.getKey(), route);
            }
        }
    }

    private void expireQueries() {
        List<Long> expired =
                mQueryExpiries.entrySet().stream()
                        .filter(query -> mState.mNow >= query.getValue())
                        .map(Map.Entry::getKey)
                        .toList();
        for (long token : expired) {
            mQueryExpiries.remove(token);
            String detail = "The owner did not answer.";
            mState.mOutbox.answerCaller(
                    token, new JobAnswer.Failed(ErrorCode.OWNER_UNREACHABLE, detail));
        }
    }

    /** Returns the route with the token if its job is forwarded to the peer. */
    private Optional<Route> routeSentTo(NodeId peer, long token) {
        return Optional.ofNullable(mRoutes.get(token))
                .filter(route -> route.mSentTo.filter(peer::equals).isPresent());
    }

    /**
     * Routes the unanswered jobs, deferred submissions and deferred refusals of a partition whose
     * ownership has ended: those of local callers wait for the next owner, and peers are told to
     * route theirs again.
     */
    void rerouteJobs(OwnedPartition partition) {
        for (Job job : partition.mJobs.activeJobs()) {
            job.mWaiters.forEach(waiter -> reroute(job.mRequest, waiter));
            job.mWaiters.clear();
        }
        List<DeferredSubmission> deferred = new ArrayList<>(partition.mDeferredSubmissions);
        deferred.forEach(submission -> reroute(submission.request(), submission.waiter()));
        List<DeferredRefusal> refusals = new ArrayList<>(partition.mDeferredRefusals);
        refusals.forEach(refusal -> reroute(refusal.request(), refusal.waiter()));
    }

    /**
     * Answers a caller's query for the state of a job, or forwards it to the owner of the
     * partition. The answer is JOB_UNKNOWN if the service, the layout or the id is not known, and
     * OWNER_UNREACHABLE if the owner is not connected or does not answer in time.
     */
    void query(long token, SubmissionId id, String service) {
        Optional<ServiceObject> object = mState.mHead.set().service(service);
        if (object.isEmpty() || mState.mPartitionMap.isEmpty()) {
            answerUnknownService(token);
            return;
        }
        Optional<OwnedPartition> owned = ownedPartitionFor(object.get(), id);
        if (owned.isPresent()) {
            mState.mOutbox.answerCaller(token, jobStatus(owned.get(), id));
            return;
        }
        Optional<NodeId> owner =
                connectedOwner(mState.mPartitionMap.get().partitionOf(object.get(), id));
        if (owner.isEmpty()) {
            String detail = "id " + id;
            mState.mOutbox.answerCaller(
                    token, new JobAnswer.Failed(ErrorCode.OWNER_UNREACHABLE, detail));
            return;
        }
        mQueryExpiries.put(token, mState.mNow + QUERY_TIMEOUT_MILLIS);
        mState.mOutbox.sendToPeer(owner.get(), new QueryJob(token, id, service));
    }

    /** Returns the answer to a peer's query; a failure if this entry does not own the partition. */
    JobAnswer onQueried(QueryJob query) {
        return mState.mHead
                .set()
                .service(query.service())
                .flatMap(service -> ownedPartitionFor(service, query.id()))
                .map(partition -> jobStatus(partition, query.id()))
                .orElse(new JobAnswer.Failed(ErrorCode.OWNER_UNREACHABLE, "id " + query.id()));
    }

    /**
     * Cancels a job if its partition is owned here, else forwards the cancellation to the owner. It
     * is dropped if the service or the layout is not known or the owner is not connected.
     */
    void cancel(SubmissionId id, String service) {
        Optional<ServiceObject> object = mState.mHead.set().service(service);
        if (object.isEmpty() || mState.mPartitionMap.isEmpty()) {
            return;
        }
        Optional<OwnedPartition> owned = ownedPartitionFor(object.get(), id);
        if (owned.isPresent()) {
            mDispatch.cancel(owned.get(), id);
            return;
        }
        connectedOwner(mState.mPartitionMap.get().partitionOf(object.get(), id))
                .ifPresent(owner -> mState.mOutbox.sendToPeer(owner, new CancelJob(id, service)));
    }

    /** Returns the number of jobs that are forwarded or wait for an owner. */
    int openRoutes() {
        return mRoutes.size();
    }

    private void route(long token, JobRequest request) {
        ServiceObject service = serviceOf(request).orElseThrow();
        int partition = mState.mPartitionMap.orElseThrow().partitionOf(service, request.id());
        OwnedPartition owned = mState.mOwnedPartitions.get(partition);
        if (owned != null) {
            mDispatch.submit(owned, request, new Waiter.LocalCaller(token));
            return;
        }
        Route route = new Route(request, partition);
        mRoutes.put(token, route);
        send(token, route);
    }

    /** Passes a waiting job to its owner, this entry or a peer, if the owner is reachable. */
    private void send(long token, Route route) {
        if (route.mSentTo.isPresent() || mState.mNow < route.mNextSendAt) {
            return;
        }
        OwnedPartition owned = mState.mOwnedPartitions.get(route.mPartition);
        if (owned != null) {
            mRoutes.remove(token);
            mDispatch.submit(owned, route.mRequest, new Waiter.LocalCaller(token));
            return;
        }
        Optional<NodeId> owner = connectedOwner(route.mPartition);
        if (owner.isPresent()) {
            route.mSentTo = owner;
            mState.count(EntryCounter.JOBS_FORWARDED);
            long remaining = Math.max(0, route.mRequest.deadline() - mState.mNow);
            mState.mOutbox.sendToPeer(owner.get(), new SubmitJob(token, route.mRequest, remaining));
        }
    }

    /** Marks a job to be forwarded again unless it has gone to the current, connected owner. */
    private void resetIfOwnerChanged(Route route) {
        boolean current =
                route.mSentTo.isPresent() && route.mSentTo.equals(connectedOwner(route.mPartition));
        if (!current) {
            route.mSentTo = Optional.empty();
        }
    }

    private void reroute(JobRequest request, Waiter waiter) {
        switch (waiter) {
            case Waiter.LocalCaller caller -> {
                ServiceObject service = serviceOf(request).orElseThrow();
                int partition =
                        mState.mPartitionMap.orElseThrow().partitionOf(service, request.id());
                mRoutes.put(caller.token(), new Route(request, partition));
            }
            case Waiter.Peer peer ->
                    mState.mOutbox.sendToPeer(peer.peer(), new JobMoved(peer.token()));
        }
    }

    private void answerUnknownService(long token) {
        mState.mOutbox.answerCaller(
                token, new JobAnswer.Failed(ErrorCode.JOB_UNKNOWN, "service parameter"));
    }

    private JobAnswer jobStatus(OwnedPartition partition, SubmissionId id) {
        Optional<Job> job = partition.mJobs.activeJob(id);
        if (job.isPresent()) {
            return new JobAnswer.Pending(job.get().completedCount(), job.get().taskCount());
        }
        return partition
                .mJobs
                .endedJob(id)
                .map(EndedJob::answer)
                .orElse(new JobAnswer.Failed(ErrorCode.JOB_UNKNOWN, "id " + id));
    }

    private Optional<ServiceObject> serviceOf(JobRequest request) {
        ConfigurationSet set = mState.mHead.set();
        return set.jobKind(request.kind()).flatMap(kind -> set.service(kind.service()));
    }

    private Optional<OwnedPartition> ownedPartitionFor(ServiceObject service, SubmissionId id) {
        return mState.mPartitionMap.map(
                map -> mState.mOwnedPartitions.get(map.partitionOf(service, id)));
    }

    /** Returns the owner of the partition, by its record, if it is a connected peer. */
    private Optional<NodeId> connectedOwner(int partition) {
        return Optional.ofNullable(mState.mPartitionRecords.get(partition))
                .flatMap(record -> record.value().currentOwner())
                .filter(owner ->
                        Optional.ofNullable(mState.mPeers.get(owner))
                                .filter(peer -> peer.mConnected)
                                .isPresent());
    }
}
