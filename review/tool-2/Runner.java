import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/**
 * Stand-in of a sound runner without admission control: it executes orders as the pages say, holds
 * a lease of at most a second, and announces itself to the sidecar of its machine. The spec of a
 * task is its run time in milliseconds.
 */
final class Runner {
    /** A run of a task; times are of the record, -1 while it goes on. */
    static final class Run {
        final String mTask;
        final int mRun;
        final long mStartedAt;
        final long mEndsAt;
        long mEndedAt = -1;
        String mHow = "";

        Run(String task, int run, long startedAt, long endsAt) {
            mTask = task;
            mRun = run;
            mStartedAt = startedAt;
            mEndsAt = endsAt;
        }
    }

    private static final long HOLD_MAX_MILLIS = 1_000;
    private static final long HEARTBEAT_MILLIS = 1_500;

    private final Record mRecord;
    private final String mId;
    private final String mService;
    private final String mAddress;
    private final String mControl;
    private final int mCpu;
    private final long mBorn = System.currentTimeMillis();
    private final long mBornNanos = System.nanoTime();
    private final HttpServer mServer;
    private final Map<String, Run> mRunning = new LinkedHashMap<>();
    private final Map<String, Integer> mEndedRuns = new HashMap<>();
    private final List<String> mFinished = new ArrayList<>();
    private final List<Run> mAll = new ArrayList<>();
    private long mFirstFinished = 1;
    private long mFence;
    private long mLeaseUntil;
    private long mSequence;
    private volatile boolean mStopped;

    Runner(Record record, String id, String service, String address, String control, int cpu)
            throws IOException {
        mRecord = record;
        mId = id;
        mService = service;
        mAddress = address;
        mControl = control;
        mCpu = cpu;
        int colon = address.lastIndexOf(':');
        mServer =
                HttpServer.create(
                        new InetSocketAddress(
                                address.substring(0, colon),
                                Integer.parseInt(address.substring(colon + 1))),
                        0);
        mServer.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        mServer.createContext("/run-start", exchange -> onOrder(exchange, this::start));
        mServer.createContext("/run-stop", exchange -> onOrder(exchange, this::stopRun));
        mServer.createContext("/hold", exchange -> onOrder(exchange, this::hold));
        mServer.start();
        Thread.ofVirtual().start(this::endDueRuns);
        Thread.ofVirtual().start(this::sendHeartbeats);
    }

    void stop() {
        mStopped = true;
        mServer.stop(0);
    }

    /** Returns all runs so far. */
    synchronized List<Run> runs() {
        return List.copyOf(mAll);
    }

    private long clock() {
        return (System.nanoTime() - mBornNanos) / 1_000_000;
    }

    private interface Order {
        void handle(HttpExchange exchange, Map<String, Object> body) throws IOException;
    }

    private void onOrder(HttpExchange exchange, Order order) throws IOException {
        Map<String, Object> body = Json.object(Http.body(exchange));
        String boot = exchange.getRequestHeaders().getFirst("X-Jackdawsaddle-Target-Instance");
        if (!mId.equals(boot)) {
            Http.send(exchange, 421, "{\"clockMs\":" + clock() + "}");
        } else {
            order.handle(exchange, body);
        }
    }

    private void start(HttpExchange exchange, Map<String, Object> body) throws IOException {
        String reason;
        synchronized (this) {
            reason = start(body);
        }
        answer(exchange, reason);
    }

    private void answer(HttpExchange exchange, String reason) throws IOException {
        String text = reason.isEmpty() ? "" : ",\"reason\":\"" + reason + "\"";
        Http.send(exchange, reason.isEmpty() ? 200 : 409, "{\"clockMs\":" + clock() + text + "}");
    }

    private String start(Map<String, Object> body) {
        String task = (String) body.get("task");
        int number = (int) Json.number(body.get("run"));
        if (fenced(body)) {
            return "fence";
        }
        Run current = mRunning.get(task);
        if (current != null && current.mRun == number) {
            return "";
        }
        if (current != null || number <= mEndedRuns.getOrDefault(task, 0)) {
            extendLease(body);
            return "old";
        }
        if (Json.number(body.get("deadlineMs")) <= clock()) {
            return "late";
        }
        extendLease(body);
        long now = mRecord.now();
        Run run = new Run(task, number, now, now + Long.parseLong((String) body.get("spec")));
        mRunning.put(task, run);
        mAll.add(run);
        mRecord.line("runner " + mId + " starts task " + task + " run " + number);
        return "";
    }

    private boolean fenced(Map<String, Object> body) {
        long token = Json.number(body.get("fencingToken"));
        mFence = Math.max(mFence, token);
        return token < mFence;
    }

    private void extendLease(Map<String, Object> body) {
        long asked = Json.number(body.get("deadlineMs"));
        mLeaseUntil = Math.max(mLeaseUntil, Math.min(asked, clock() + HOLD_MAX_MILLIS));
    }

    private void stopRun(HttpExchange exchange, Map<String, Object> body) throws IOException {
        String reason = "";
        synchronized (this) {
            if (fenced(body)) {
                reason = "fence";
            } else {
                String task = (String) body.get("task");
                int number = (int) Json.number(body.get("run"));
                mEndedRuns.merge(task, number, Math::max);
                Run current = mRunning.get(task);
                if (current != null && current.mRun <= number) {
                    end(current, "stopped");
                }
            }
        }
        answer(exchange, reason);
    }

    private void hold(HttpExchange exchange, Map<String, Object> body) throws IOException {
        long until = clock() + Json.number(body.get("waitMs"));
        String text;
        synchronized (this) {
            if (fenced(body)) {
                text = "";
            } else {
                extendLease(body);
                long cursor = Json.number(body.get("ackCursor"));
                while (mFirstFinished <= cursor && !mFinished.isEmpty()) {
                    mFinished.removeFirst();
                    mFirstFinished++;
                }
                while (mFinished.isEmpty() && clock() < until) {
                    try {
                        wait(Math.max(1, until - clock()));
                    } catch (InterruptedException e) {
                        break;
                    }
                }
                StringBuilder running = new StringBuilder();
                for (Run run : mRunning.values()) {
                    running.append(running.isEmpty() ? "" : ",")
                            .append("[\"" + run.mTask + "\"," + run.mRun + ",\"\",100]");
                }
                text =
                        "{\"clockMs\":" + clock() + ",\"born\":" + mBorn + ",\"running\":["
                                + running + "],\"finished\":["
                                + String.join(",", mFinished.subList(0, Math.min(500, mFinished.size())))
                                + "]}";
            }
        }
        if (text.isEmpty()) {
            answer(exchange, "fence");
        } else {
            Http.send(exchange, 200, text);
        }
    }

    private void end(Run run, String how) {
        run.mEndedAt = mRecord.now();
        run.mHow = how;
        mRunning.remove(run.mTask);
        mEndedRuns.merge(run.mTask, run.mRun, Math::max);
        mFinished.add(
                "[" + (mFirstFinished + mFinished.size()) + ",\"" + run.mTask + "\"," + run.mRun
                        + ",\"" + how + "\",\"\"]");
        mRecord.line("runner " + mId + " ends task " + run.mTask + " run " + run.mRun + ": " + how);
        notifyAll();
    }

    private void endDueRuns() {
        while (!mStopped) {
            synchronized (this) {
                boolean lapsed = clock() >= mLeaseUntil;
                long now = mRecord.now();
                for (Run run : List.copyOf(mRunning.values())) {
                    if (lapsed) {
                        end(run, "lapsed");
                    } else if (now >= run.mEndsAt) {
                        end(run, "done");
                    }
                }
            }
            Record.sleep(2);
        }
    }

    private void sendHeartbeats() {
        while (!mStopped) {
            sendHeartbeat();
            Record.sleep(HEARTBEAT_MILLIS);
        }
    }

    private void sendHeartbeat() {
        mSequence++;
        String body =
                "{\"service\":\"" + mService + "\",\"address\":\"" + mAddress
                        + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
                        + "\"coldMs\":0,\"capacity\":{\"cpu\":" + mCpu
                        + ",\"memMb\":262144,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],\"clockMs\":"
                        + clock() + ",\"seq\":" + mSequence + ",\"born\":" + mBorn + "}";
        Http.call(mControl, "PUT", "/instances/" + mId, mControl, body, 1_000);
    }
}
