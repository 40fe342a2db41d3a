package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of a runner, as the platform's protocol describes it. A spec has the form "MILLIS TEXT":
 * a run of it takes so long.
 */
final class RunnerStub implements AutoCloseable {
    static final int CPU = 64_000;
    static final int MEMORY = 262_144;
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final long LONGEST_LEASE_MILLIS = 1_000;

    /** How late an order that got no answer is carried out. */
    private static final long LATE_MILLIS = 2_500;

    /** The time from when a new boot accepts orders to its first heartbeat. */
    private static final long FIRST_HEARTBEAT_MILLIS = 300;

    /** One run; the end is negative until it has ended. All times are those of the record. */
    static final class Run {
        final String mTask;
        final int mRun;
        final long mStartedAt;
        final long mDueAt;
        final String mRunner;
        final String mKind;
        volatile long mEndedAt = -1;
        volatile String mHow = "";

        Run(RunnerStub runner, String task, int run, long startedAt, long millis) {
            mRunner = runner.mId;
            mKind = runner.mKind;
            mTask = task;
            mRun = run;
            mStartedAt = startedAt;
            mDueAt = startedAt + millis;
        }
    }

    private final String mId;
    private final String mAddress;
    private final String mControl;
    private final String mService;
    private final Record mRecord;
    private volatile HttpServer mServer;
    private final ScheduledExecutorService mTimer =
            Executors.newScheduledThreadPool(2, Thread.ofPlatform().daemon().factory());
    private volatile long mBorn;
    private volatile long mBornAt;
    private volatile String mKind;
    private final Map<String, Run> mRunning = new LinkedHashMap<>();
    private final Map<String, Integer> mHighestEnded = new HashMap<>();
    private final List<List<Object>> mFinished = new ArrayList<>();
    private final List<Run> mAll = new ArrayList<>();
    private long mToken;
    private long mLeaseEnd;
    private long mEnds;
    private long mSequence;

    /** How many orders the runner has got, and how many of them it has left unanswered. */
    private final AtomicInteger mOrders = new AtomicInteger();

    private final AtomicInteger mUnanswered = new AtomicInteger();

    /** Until when stops get no answer and are carried out late. */
    private volatile long mStopsLateUntil;

    /** Until when all orders get no answer and are carried out late. */
    private volatile long mOrdersLateUntil;

    RunnerStub(
            String id, String address, String control, String service, String kind, Record record)
            throws IOException {
        mId = id;
        mAddress = address;
        mControl = control;
        mService = service;
        mRecord = record;
        boot(kind);
        mTimer.scheduleAtFixedRate(this::advance, 2, 2, TimeUnit.MILLISECONDS);
        mTimer.scheduleAtFixedRate(
                this::heartbeat, FIRST_HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Ends the process: everything that runs on it ends, and connections are refused. */
    synchronized void crash() {
        mRecord.line("%s crashes", mId);
        mServer.stop(0);
        mServer = null;
        mRunning.values().forEach(run -> {
            run.mEndedAt = mRecord.now();
            run.mHow = "crashed";
        });
        mRunning.clear();
        mHighestEnded.clear();
        mFinished.clear();
        mToken = 0;
        mLeaseEnd = 0;
        mEnds = 0;
        mSequence = 0;
    }

    /** Starts again under the same id, as a runner of the given kind. */
    synchronized void restart(String kind) throws IOException {
        boot(kind);
        mTimer.schedule(this::heartbeat, FIRST_HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void boot(String kind) throws IOException {
        mKind = kind;
        mBorn = System.currentTimeMillis();
        mBornAt = mRecord.now();
        mServer = Http.serve(mAddress, this::handle);
        mRecord.line("%s starts as a runner of kind %s", mId, kind);
    }

    int orders() {
        return mOrders.get();
    }

    int unanswered() {
        return mUnanswered.get();
    }

    /** Leaves all orders unanswered for a while, and carries them out late. */
    void leaveOrdersUnanswered(long millis) {
        mRecord.line("%s leaves orders unanswered for %d ms", mId, millis);
        mOrdersLateUntil = mRecord.now() + millis;
    }

    /** Leaves orders to stop runs unanswered for a while, and carries them out late. */
    void leaveStopsUnanswered(long millis) {
        mRecord.line("%s leaves orders to stop unanswered for %d ms", mId, millis);
        mStopsLateUntil = mRecord.now() + millis;
    }

    synchronized List<Run> runs() {
        return List.copyOf(mAll);
    }

    private long clock() {
        return mRecord.now() - mBornAt;
    }

    private void heartbeat() {
        if (mServer == null || clock() < FIRST_HEARTBEAT_MILLIS) {
            return;
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("service", mService);
        body.put("address", mAddress);
        body.put("zone", "zone-1");
        body.put("version", "v1");
        body.put("slots", 8);
        body.put("state", "ready");
        body.put("coldMs", 0);
        body.put("capacity", Map.of("cpu", CPU, "memMb", MEMORY, "gpu", 0));
        body.put("labels", List.of(mKind, "r1-1"));
        body.put("clockMs", clock());
        body.put("seq", ++mSequence);
        body.put("born", mBorn);
        Http.Response response =
                Http.send(
                        mControl,
                        "PUT",
                        "/instances/" + mId,
                        Map.of("Host", mControl),
                        Json.write(body),
                        1_000);
        mRecord.line("%s sends heartbeat: kind %s, answer %d", mId, mKind, response.status());
    }

    private void handle(HttpExchange exchange) throws IOException {
        JsonNode body = Json.read(exchange.getRequestBody().readAllBytes());
        String instance = exchange.getRequestHeaders().getFirst("X-Jackdawsaddle-Target-Instance");
        if (!mId.equals(instance)) {
            Http.reply(exchange, 421, Map.of());
            return;
        }
        mOrders.incrementAndGet();
        if (mRecord.now() < mOrdersLateUntil) {
            executeLate(exchange.getRequestURI().getPath(), body);
            return;
        }
        switch (exchange.getRequestURI().getPath()) {
            case "/run-start" -> start(exchange, body);
            case "/run-stop" -> {
                if (mRecord.now() < mStopsLateUntil) {
                    stopLate(body);
                } else {
                    stop(body);
                    Http.reply(exchange, 200, Map.of("clockMs", clock()));
                }
            }
            case "/hold" -> hold(exchange, body);
            default -> Http.reply(exchange, 404, Map.of());
        }
    }

    private void start(HttpExchange exchange, JsonNode body) throws IOException {
        String reason = startReason(body);
        if (reason.isEmpty()) {
            Http.reply(exchange, 200, Map.of("clockMs", clock()));
        } else {
            Http.reply(exchange, 409, Map.of("clockMs", clock(), "reason", reason));
        }
    }

    private synchronized String startReason(JsonNode body) {
        advance();
        if (fenced(body)) {
            return "fence";
        }
        String task = body.get("task").asText();
        int run = body.get("run").asInt();
        String key = task + "/" + run;
        if (mRunning.containsKey(key)) {
            return "";
        }
        if (body.get("deadlineMs").asLong() <= clock()) {
            return "late";
        }
        extendLease(body.get("deadlineMs").asLong());
        if (mHighestEnded.getOrDefault(task, 0) >= run) {
            return "old";
        }
        long millis = Long.parseLong(body.get("spec").asText().split(" ")[0]);
        Run started = new Run(this, task, run, mRecord.now(), millis);
        mRunning.put(key, started);
        mAll.add(started);
        mRecord.line("%s (kind %s) starts %s run %d", mId, mKind, task, run);
        return "";
    }

    /** Leaves an order unanswered and carries it out late; its lease counts from then. */
    private void executeLate(String path, JsonNode body) {
        mUnanswered.incrementAndGet();
        if (!path.equals("/hold")) {
            mRecord.line("%s leaves %s of %s unanswered", mId, path, body.get("task").asText());
        }
        long leaseMillis = Math.max(0, body.path("deadlineMs").asLong(0) - clock());
        mTimer.schedule(
                () -> {
                    ObjectNode late = body.deepCopy();
                    if (leaseMillis > 0) {
                        late.put("deadlineMs", clock() + leaseMillis);
                    }
                    execute(path, late);
                },
                LATE_MILLIS,
                TimeUnit.MILLISECONDS);
        try {
            Thread.sleep(LATE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void execute(String path, JsonNode body) {
        switch (path) {
            case "/run-start" ->
                    mRecord.line(
                            "%s carries out the start of %s late: %s",
                            mId, body.get("task").asText(), startReason(body));
            case "/run-stop" -> stop(body);
            default -> {
                if (!fenced(body)) {
                    extendLease(body.path("deadlineMs").asLong(0));
                }
            }
        }
    }

    /** Leaves an order to stop a run unanswered and carries it out late. */
    private void stopLate(JsonNode body) {
        mUnanswered.incrementAndGet();
        mRecord.line("%s leaves the stop of %s unanswered", mId, body.get("task").asText());
        mTimer.schedule(() -> stop(body), LATE_MILLIS, TimeUnit.MILLISECONDS);
        try {
            Thread.sleep(LATE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void stop(JsonNode body) {
        advance();
        if (fenced(body)) {
            return;
        }
        String task = body.get("task").asText();
        int run = body.get("run").asInt();
        mHighestEnded.merge(task, run, Math::max);
        Run running = mRunning.get(task + "/" + run);
        if (running != null) {
            end(running, "stopped");
        }
    }

    private void hold(HttpExchange exchange, JsonNode body) throws IOException {
        Map<String, Object> answer = new LinkedHashMap<>();
        synchronized (this) {
            advance();
            if (!fenced(body)) {
                extendLease(body.path("deadlineMs").asLong(0));
                long cursor = body.path("ackCursor").asLong(0);
                mFinished.removeIf(row -> (long) row.get(0) <= cursor);
            }
            long deadline = mRecord.now() + Math.min(2_000, body.path("waitMs").asLong(0));
            while (mFinished.isEmpty() && mRecord.now() < deadline) {
                try {
                    wait(2);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
                advance();
            }
            List<List<Object>> running = new ArrayList<>();
            for (Run run : mRunning.values()) {
                running.add(List.of(run.mTask, run.mRun, "", 50, 0));
            }
            answer.put("clockMs", clock());
            answer.put("born", mBorn);
            answer.put("running", running);
            answer.put("finished", mFinished.stream().limit(500).toList());
        }
        Http.reply(exchange, 200, answer);
    }

    private boolean fenced(JsonNode body) {
        long token = body.path("fencingToken").asLong(0);
        boolean fenced = token < mToken;
        mToken = Math.max(mToken, token);
        return fenced;
    }

    private void extendLease(long until) {
        mLeaseEnd = Math.max(mLeaseEnd, Math.min(until, clock() + LONGEST_LEASE_MILLIS));
    }

    private synchronized void advance() {
        boolean lapsed = clock() >= mLeaseEnd;
        for (Run run : List.copyOf(mRunning.values())) {
            if (lapsed) {
                end(run, "lapsed");
            } else if (mRecord.now() >= run.mDueAt) {
                end(run, "done");
            }
        }
    }

    private void end(Run run, String how) {
        run.mEndedAt = mRecord.now();
        run.mHow = how;
        mRunning.remove(run.mTask + "/" + run.mRun);
        mHighestEnded.merge(run.mTask, run.mRun, Math::max);
        mEnds++;
        mFinished.add(List.of(mEnds, run.mTask, run.mRun, how, ""));
        mRecord.line("%s ends %s run %d: %s", mId, run.mTask, run.mRun, how);
        notifyAll();
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        if (mServer != null) {
            mServer.stop(0);
        }
    }
}
