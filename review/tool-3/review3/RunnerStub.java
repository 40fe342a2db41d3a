package review3;

import com.fasterxml.jackson.databind.JsonNode;
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

/**
 * Stand-in of a runner, as the platform's protocol describes it. A spec has the form "MILLIS TEXT":
 * a run of it takes so long.
 */
final class RunnerStub implements AutoCloseable {
    static final int CPU = 64_000;
    static final int MEMORY = 262_144;
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final long LONGEST_LEASE_MILLIS = 1_000;

    /** One run; the end is negative until it has ended. All times are those of the record. */
    static final class Run {
        final String mTask;
        final int mRun;
        final long mStartedAt;
        final long mDueAt;
        volatile long mEndedAt = -1;
        volatile String mHow = "";

        Run(String task, int run, long startedAt, long millis) {
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
    private final HttpServer mServer;
    private final ScheduledExecutorService mTimer =
            Executors.newScheduledThreadPool(2, Thread.ofPlatform().daemon().factory());
    private final long mBorn = System.currentTimeMillis();
    private final long mBornAt;
    private final Map<String, Run> mRunning = new LinkedHashMap<>();
    private final Map<String, Integer> mHighestEnded = new HashMap<>();
    private final List<List<Object>> mFinished = new ArrayList<>();
    private final List<Run> mAll = new ArrayList<>();
    private long mToken;
    private long mLeaseEnd;
    private long mEnds;
    private long mSequence;

    RunnerStub(String id, String address, String control, String service, Record record)
            throws IOException {
        mId = id;
        mAddress = address;
        mControl = control;
        mService = service;
        mRecord = record;
        mBornAt = record.now();
        mServer = Http.serve(address, this::handle);
        mTimer.scheduleAtFixedRate(this::advance, 2, 2, TimeUnit.MILLISECONDS);
        mTimer.scheduleAtFixedRate(this::heartbeat, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    synchronized List<Run> runs() {
        return List.copyOf(mAll);
    }

    private long clock() {
        return mRecord.now() - mBornAt;
    }

    private void heartbeat() {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("service", mService);
        body.put("address", mAddress);
        body.put("zone", "zone-1");
        body.put("version", "v1");
        body.put("slots", 8);
        body.put("state", "ready");
        body.put("coldMs", 0);
        body.put("capacity", Map.of("cpu", CPU, "memMb", MEMORY, "gpu", 0));
        body.put("labels", List.of("a", "r1-1"));
        body.put("clockMs", clock());
        body.put("seq", ++mSequence);
        body.put("born", mBorn);
        Http.send(mControl, "PUT", "/instances/" + mId, Map.of("Host", mControl),
                Json.write(body), 1_000);
    }

    private void handle(HttpExchange exchange) throws IOException {
        JsonNode body = Json.read(exchange.getRequestBody().readAllBytes());
        String instance = exchange.getRequestHeaders().getFirst("X-Jackdawsaddle-Target-Instance");
        if (!mId.equals(instance)) {
            Http.reply(exchange, 421, Map.of());
            return;
        }
        switch (exchange.getRequestURI().getPath()) {
            case "/run-start" -> start(exchange, body);
            case "/run-stop" -> stop(exchange, body);
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
        Run started = new Run(task, run, mRecord.now(), millis);
        mRunning.put(key, started);
        mAll.add(started);
        mRecord.line("%s starts %s run %d", mId, task, run);
        return "";
    }

    private void stop(HttpExchange exchange, JsonNode body) throws IOException {
        synchronized (this) {
            advance();
            if (!fenced(body)) {
                String task = body.get("task").asText();
                int run = body.get("run").asInt();
                mHighestEnded.merge(task, run, Math::max);
                Run running = mRunning.get(task + "/" + run);
                if (running != null) {
                    end(running, "stopped");
                }
            }
        }
        Http.reply(exchange, 200, Map.of("clockMs", clock()));
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
        mServer.stop(0);
    }
}
