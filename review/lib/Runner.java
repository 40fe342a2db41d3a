import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in of a runner. A task works for the milliseconds that its spec names as {@code work=N};
 * it ends early by a stop, 20 ms after the order, or by the lease.
 */
final class Runner {
    /** A run, for the checks: times are those of the record, in milliseconds; end -1 while it is there. */
    static final class Run {
        final String runner;
        final String task;
        final int run;
        final String spec;
        final long start;
        volatile long end = -1;
        volatile String how = "";
        private long mEndsAt;
        private String mEndsHow = "done";

        Run(String runner, String task, int run, String spec, long start, long endsAt) {
            this.runner = runner;
            this.task = task;
            this.run = run;
            this.spec = spec;
            this.start = start;
            mEndsAt = endsAt;
        }
    }

    private static final Pattern WORK = Pattern.compile("work=(\\d+)");
    private static final long MAX_LEASE_MILLIS = 1_000;
    private static final long STOP_MILLIS = 20;

    private final String mId;
    private final String mAddress;
    private final String mControl;
    private final String mService;
    private final String mZone;
    private final long mCpu;
    private final CaseRecord mRecord;
    private final long mBorn = System.currentTimeMillis();
    private final long mBornNanos = System.nanoTime();
    private final Map<String, Run> mRunning = new LinkedHashMap<>();
    private final Map<String, Integer> mTombstones = new HashMap<>();
    private final List<List<Object>> mFinished = new ArrayList<>();
    private final List<Run> mAll = new ArrayList<>();
    private long mFence;
    private long mLease;
    private long mEnds;
    private long mSeq;

    Runner(
            String id,
            String address,
            String control,
            String service,
            String zone,
            long cpu,
            long heartbeatMillis,
            CaseRecord record)
            throws IOException {
        mId = id;
        mAddress = address;
        mControl = control;
        mService = service;
        mZone = zone;
        mCpu = cpu;
        mRecord = record;
        HttpServer server =
                Http.serve(address, (exchange, body) -> {
                    String boot =
                            exchange.getRequestHeaders()
                                    .getFirst("X-Jackdawsaddle-Target-Instance");
                    if (boot != null && !boot.equals(mId)) {
                        return new Http.Reply(421, "{}");
                    }
                    return switch (exchange.getRequestURI().getPath()) {
                        case "/run-start" -> start(Json.readObject(body));
                        case "/run-stop" -> stop(Json.readObject(body));
                        case "/hold" -> hold(Json.readObject(body));
                        default -> new Http.Reply(200, "{}");
                    };
                });
        Thread.ofVirtual().start(() -> repeat(2, this::expire));
        Thread.ofVirtual().start(() -> repeat(heartbeatMillis, this::announce));
    }

    private interface Step {
        void run() throws Exception;
    }

    private static void repeat(long millis, Step step) {
        while (true) {
            try {
                step.run();
            } catch (Exception e) {
                // A sidecar that is not up yet; the next heartbeat follows.
            }
            try {
                Thread.sleep(millis);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    synchronized List<Run> runs() {
        return List.copyOf(mAll);
    }

    private long clock() {
        return (System.nanoTime() - mBornNanos) / 1_000_000;
    }

    private void announce() throws IOException {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("service", mService);
        body.put("address", mAddress);
        body.put("zone", mZone);
        body.put("version", "v1");
        body.put("slots", 8);
        body.put("state", "ready");
        body.put("coldMs", 0);
        body.put("capacity", Map.of("cpu", mCpu, "memMb", 262_144, "gpu", 0));
        body.put("labels", List.of("a", "r1-1"));
        body.put("clockMs", clock());
        body.put("seq", ++mSeq);
        body.put("born", mBorn);
        try (Http.Channel channel = new Http.Channel(mControl)) {
            channel.call("PUT", mControl, "/instances/" + mId, Json.write(body), Map.of(), 1_000);
        }
    }

    private static long number(Map<String, Object> order, String field) {
        return order.get(field) == null ? 0 : (Long) order.get(field);
    }

    private Http.Reply reply(int status, String reason) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("clockMs", clock());
        if (reason != null) {
            body.put("reason", reason);
        }
        return new Http.Reply(status, Json.write(body));
    }

    private boolean fenced(Map<String, Object> order) {
        long fence = number(order, "fencingToken");
        if (fence < mFence) {
            return true;
        }
        mFence = fence;
        return false;
    }

    private void extendLease(Map<String, Object> order) {
        long until = Math.min(number(order, "deadlineMs"), clock() + MAX_LEASE_MILLIS);
        mLease = Math.max(mLease, until);
    }

    private synchronized Http.Reply start(Map<String, Object> order) {
        expire();
        String task = order.get("task").toString();
        int run = (int) number(order, "run");
        if (fenced(order)) {
            return reply(409, "fence");
        }
        Run known = mRunning.get(task);
        if (known != null && known.run == run) {
            return reply(200, null);
        }
        if (run <= mTombstones.getOrDefault(task, 0)) {
            extendLease(order);
            return reply(409, "old");
        }
        if (number(order, "deadlineMs") <= clock()) {
            return reply(409, "late");
        }
        extendLease(order);
        String spec = order.get("spec").toString();
        Matcher work = WORK.matcher(spec);
        long millis = work.find() ? Long.parseLong(work.group(1)) : 10;
        Run started = new Run(mId, task, run, spec, mRecord.now(), clock() + millis);
        mRunning.put(task, started);
        mAll.add(started);
        mRecord.line("runner " + mId + " starts " + task + " run " + run + " spec " + spec);
        return reply(200, null);
    }

    private synchronized Http.Reply stop(Map<String, Object> order) {
        expire();
        if (fenced(order)) {
            return reply(409, "fence");
        }
        String task = order.get("task").toString();
        int run = (int) number(order, "run");
        mTombstones.merge(task, run, Math::max);
        Run running = mRunning.get(task);
        if (running != null && running.run <= run) {
            running.mEndsAt = Math.min(running.mEndsAt, clock() + STOP_MILLIS);
            running.mEndsHow = "stopped";
        }
        return reply(200, null);
    }

    private synchronized Http.Reply hold(Map<String, Object> order) throws InterruptedException {
        expire();
        if (fenced(order)) {
            return reply(409, "fence");
        }
        extendLease(order);
        long cursor = number(order, "ackCursor");
        mFinished.removeIf(row -> (Long) row.get(0) <= cursor);
        long end = System.nanoTime() + number(order, "waitMs") * 1_000_000;
        while (mFinished.isEmpty() && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
        }
        List<Object> running = new ArrayList<>();
        mRunning.values().forEach(run -> running.add(List.of(run.task, run.run, "", 100, 0)));
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("clockMs", clock());
        body.put("born", mBorn);
        body.put("running", running);
        body.put("finished", List.copyOf(mFinished.subList(0, Math.min(500, mFinished.size()))));
        return new Http.Reply(200, Json.write(body));
    }

    /** Ends the runs whose time has come, and all of them once the lease has run out. */
    private synchronized void expire() {
        boolean lapsed = clock() > mLease;
        for (Run run : List.copyOf(mRunning.values())) {
            if (lapsed || clock() >= run.mEndsAt) {
                String how = lapsed ? "lapsed" : run.mEndsHow;
                mRunning.remove(run.task);
                mTombstones.merge(run.task, run.run, Math::max);
                mEnds++;
                mFinished.add(List.of(mEnds, run.task, run.run, how, ""));
                run.how = how;
                run.end = mRecord.now();
                mRecord.line("runner " + mId + " ends " + run.task + " run " + run.run + " " + how);
                notifyAll();
            }
        }
    }
}
