package org.jackdawsaddle.standin.platform;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.internal.http.HttpClient;
import org.jackdawsaddle.internal.http.HttpExchanges;
import org.jackdawsaddle.internal.http.HttpRequest;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.runtime.HttpServer;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.pool.RunSnapshot;
import org.jackdawsaddle.pool.TargetGateway.StartReply;

/**
 * Stand-in for a worker of the platform: implements the platform's HTTP interface with a {@link
 * WorkerModel}, and announces itself to its sidecar every second.
 */
public final class WorkerStandIn implements ManagedService {
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final long MAX_BODY_BYTES = 65_536;
    private static final long POLL_CHECK_INTERVAL_MILLIS = 2;
    private static final long ANNOUNCE_INTERVAL_MILLIS = 1_000;
    private static final int MILLICORES_PER_CORE = 1_000;

    /**
     * The configuration of a worker.
     *
     * @param id the name under which it announces itself
     * @param service the service that it runs
     * @param address where it accepts orders, as host:port
     * @param announcedAddress the address for orders that it announces, as host:port; differs from
     *     its own address behind a proxy
     * @param sidecarAddress where it announces itself, as host:port
     * @param cores the cores that it announces at first; it does not enforce them
     * @param speed divides the run time in the payload of a task; at 0.5 it takes twice as long
     */
    public record WorkerConfig(
            String id,
            String service,
            String address,
            String announcedAddress,
            String sidecarAddress,
            double cores,
            double speed) {}

    /** The body of an order to start or stop a run, or of a poll; absent numbers are 0. */
    private record OrderBody(
            String task,
            int run,
            String spec,
            long deadlineMs,
            long fencingToken,
            long ackCursor,
            long waitMs) {}

    private record ReplyBody(long clockMs, String reason) {}

    private record SnapshotBody(
            long clockMs, long born, List<List<Object>> running, List<List<Object>> finished) {}

    /**
     * A poll that has not been answered.
     *
     * @param deadline when it is answered although no run has ended, in milliseconds since the
     *     epoch
     */
    private record PendingPoll(HttpServerExchange exchange, OrderBody order, long deadline) {}

    private final WorkerConfig mConfig;
    private final UnixClock mClock;
    private WorkerModel mModel;
    private final HttpClient mHttpClient;
    private final HttpServer mServer;
    private final List<PendingPoll> mPendingPolls = new ArrayList<>();
    private final Set<String> mTasksBeforeRestart = new HashSet<>();
    private final List<RunInterval> mIntervalsBeforeRestart = new ArrayList<>();
    private int mStartsOverCapacityBeforeRestart;
    private final ScheduledExecutorService mTimer =
            Executors.newSingleThreadScheduledExecutor(
                    Thread.ofPlatform().daemon().name("worker-timer").factory());
    private long mAnnouncementCount;

    /** Before this time it does not announce itself, in milliseconds since the epoch. */
    private long mAnnounceAt;

    /** Creates a worker that is not running. */
    public WorkerStandIn(WorkerConfig config, UnixClock clock) {
        mConfig = config;
        mClock = clock;
        mModel = new WorkerModel(config.cores(), config.speed(), clock.now());
        mHttpClient = new HttpClient(clock, 1);
        RoutingHandler routes = new RoutingHandler();
        routes.post("/run-start", exchange -> onOrder(exchange, this::start));
        routes.post("/run-stop", exchange -> onOrder(exchange, this::stopRun));
        routes.post("/hold", exchange -> onOrder(exchange, this::poll));
        mServer = new HttpServer(config.address(), 1, MAX_BODY_BYTES, 0, routes);
    }

    @Override
    public void start() {
        mServer.start();
        mHttpClient.start();
        mTimer.scheduleWithFixedDelay(
                this::answerPollsPeriodically,
                0,
                POLL_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        mTimer.scheduleWithFixedDelay(
                this::announce, 0, ANNOUNCE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        mTimer.shutdownNow();
        mServer.stop();
        mHttpClient.stop();
    }

    /** Sets whether runs that are due do not end; lease expiry and stops still end them. */
    public synchronized void setStalled(boolean stalled) {
        mModel.setStalled(stalled);
    }

    /** Sets whether every run fails as soon as it starts. */
    public synchronized void setFailing(boolean failing) {
        mModel.setFailing(failing);
    }

    /** Changes the cores, which the next announcement tells; what runs goes on. */
    public synchronized void setCores(double cores) {
        mModel.setCores(cores, mClock.now());
    }

    /** Returns how many starts have brought an incarnation over its capacity. */
    public synchronized int startsOverCapacity() {
        return mStartsOverCapacityBeforeRestart + mModel.startsOverCapacity();
    }

    /**
     * Simulates a crash: loses all runs and starts a new incarnation at the same address, which
     * neither fails nor stalls runs.
     */
    public synchronized void restart() {
        mModel.crash(mClock.now());
        mIntervalsBeforeRestart.addAll(mModel.intervals());
        mTasksBeforeRestart.addAll(mModel.startedTasks());
        mStartsOverCapacityBeforeRestart += mModel.startsOverCapacity();
        mModel = new WorkerModel(mConfig.cores(), mConfig.speed(), mClock.now());
        mAnnouncementCount = 0;
    }

    /** Returns the tasks that are running now. */
    public synchronized List<String> runningTasks() {
        mModel.advance(mClock.now());
        return mModel.runningTasks();
    }

    /**
     * Returns the cores that runs use. Counts runs that became due after the last order, answered
     * poll or {@link #runningTasks}.
     */
    public synchronized double usedCores() {
        return mModel.usedCores();
    }

    /** Returns all tasks that were ever started here, by any incarnation. */
    public synchronized Set<String> startedTasks() {
        Set<String> tasks = new HashSet<>(mTasksBeforeRestart);
        tasks.addAll(mModel.startedTasks());
        return tasks;
    }

    /** Returns when the runs of all incarnations were active, in no particular order. */
    public synchronized List<RunInterval> intervals() {
        mModel.advance(mClock.now());
        List<RunInterval> intervals = new ArrayList<>(mIntervalsBeforeRestart);
        intervals.addAll(mModel.intervals());
        return intervals;
    }

    private interface OrderHandler {
        void handle(HttpServerExchange exchange, OrderBody order);
    }

    private void onOrder(HttpServerExchange exchange, OrderHandler order) {
        HttpExchanges.receiveBody(
                exchange,
                body -> {
                    OrderBody parsed = Json.read(body, OrderBody.class);
                    synchronized (this) {
                        order.handle(exchange, parsed);
                    }
                });
    }

    private void start(HttpServerExchange exchange, OrderBody order) {
        StartReply reply =
                mModel.start(
                        order.task(),
                        order.run(),
                        order.spec(),
                        order.deadlineMs(),
                        order.fencingToken(),
                        mClock.now());
        String reason =
                switch (reply) {
                    case STARTED -> null;
                    case FENCED -> "fence";
                    case OUTDATED -> "old";
                    case NO_ROOM -> "room";
                    default -> "late";
                };
        long clock = mModel.clock(mClock.now());
        HttpExchanges.sendJson(
                exchange, reason == null ? OK : CONFLICT, new ReplyBody(clock, reason));
    }

    private void stopRun(HttpServerExchange exchange, OrderBody order) {
        boolean done = mModel.stop(order.task(), order.run(), order.fencingToken(), mClock.now());
        long clock = mModel.clock(mClock.now());
        HttpExchanges.sendJson(
                exchange, done ? OK : CONFLICT, new ReplyBody(clock, done ? null : "fence"));
    }

    private void poll(HttpServerExchange exchange, OrderBody order) {
        mPendingPolls.add(new PendingPoll(exchange, order, mClock.now() + order.waitMs()));
        answerPolls();
    }

    private synchronized void answerPollsPeriodically() {
        answerPolls();
    }

    private void answerPolls() {
        long now = mClock.now();
        for (PendingPoll pendingPoll : List.copyOf(mPendingPolls)) {
            OrderBody order = pendingPoll.order();
            RunSnapshot snapshot =
                    mModel.poll(order.deadlineMs(), order.ackCursor(), order.fencingToken(), now);
            if (!snapshot.ended().isEmpty() || now >= pendingPoll.deadline()) {
                mPendingPolls.remove(pendingPoll);
                HttpExchanges.sendJson(pendingPoll.exchange(), OK, body(snapshot));
            }
        }
    }

    private static SnapshotBody body(RunSnapshot snapshot) {
        List<List<Object>> running = new ArrayList<>();
        snapshot.running().forEach(run -> running.add(List.of(run.task(), run.run(), "", 100)));
        List<List<Object>> ended = new ArrayList<>();
        snapshot.ended()
                .forEach(end ->
                        ended.add(
                                List.of(
                                        end.number(),
                                        end.task(),
                                        end.run(),
                                        outcomeName(end.outcome()),
                                        "")));
        return new SnapshotBody(snapshot.clock(), snapshot.startedAt(), running, ended);
    }

    private static String outcomeName(RunSnapshot.Outcome outcome) {
        return switch (outcome) {
            case DONE -> "done";
            case FAILED -> "failed";
            case CUT_OFF -> "stopped";
        };
    }

    /**
     * The same as {@link #restart()}, but the new incarnation announces itself late.
     *
     * @param announceAt before which it does not, in milliseconds since the epoch
     */
    public synchronized void restart(long announceAt) {
        restart();
        mAnnounceAt = announceAt;
    }

    private synchronized void announce() {
        long now = mClock.now();
        if (now < mAnnounceAt) {
            return;
        }
        mAnnouncementCount++;
        Map<String, Object> body =
                Map.of(
                        "service", mConfig.service(),
                        "address", mConfig.announcedAddress(),
                        "state", "ready",
                        "capacity",
                                Map.of(
                                        "cpu",
                                        Math.round(mModel.cores() * MILLICORES_PER_CORE),
                                        "memMb",
                                        1 << 16,
                                        "gpu",
                                        0),
                        "labels", List.of("a", "r1-1"),
                        "clockMs", mModel.clock(now),
                        "seq", mAnnouncementCount,
                        "born", mModel.startedAt());
        mHttpClient.send(
                new HttpRequest(
                        "PUT",
                        mConfig.sidecarAddress(),
                        "/instances/" + mConfig.id(),
                        Json.write(body),
                        now + ANNOUNCE_INTERVAL_MILLIS));
    }
}
