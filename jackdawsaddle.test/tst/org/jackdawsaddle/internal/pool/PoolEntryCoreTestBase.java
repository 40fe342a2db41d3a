package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.internal.message.PoolMessage.TaskReport;
import org.jackdawsaddle.pool.PoolAnswer;
import org.jackdawsaddle.pool.PoolConfiguration;
import org.jackdawsaddle.pool.PoolJob;
import org.jackdawsaddle.pool.PoolQueue;
import org.jackdawsaddle.pool.PoolStep;
import org.testng.annotations.BeforeMethod;

/** An entry with two connected sidecars, what it is told, and what it has ordered and answered. */
abstract class PoolEntryCoreTestBase {
    static final NodeId ONE = new NodeId("one", 1);
    static final NodeId TWO = new NodeId("two", 1);
    static final long LEASE_MILLIS = 1_000;
    static final long RESEND_MILLIS = 1_300;
    static final long PATIENCE_MILLIS = 1_500;
    static final long TASK_MILLIS = 100;
    static final double PROCESSOR_CORES = 0.01;

    /** A run that the entry has ordered a sidecar to start. */
    record Order(NodeId sidecar, Run run) {}

    PoolEntryCore mCore;
    long mNow;
    long mLastToken;
    final List<Order> mOrders = new ArrayList<>();
    final List<Run> mOrderedStops = new ArrayList<>();
    final List<PoolAnswer> mAnswers = new ArrayList<>();
    final List<PoolMessage> mSentToPeers = new ArrayList<>();
    final List<NodeId> mDisconnectedPeers = new ArrayList<>();

    @BeforeMethod
    public void createEntryWithTwoSidecars() {
        mNow = 1_000_000;
        mOrders.clear();
        mOrderedStops.clear();
        mAnswers.clear();
        mSentToPeers.clear();
        mDisconnectedPeers.clear();
        mCore = new PoolEntryCore("entry", LEASE_MILLIS, RESEND_MILLIS, PROCESSOR_CORES);
        assertFalse(mCore.ready());
        configure(1);
        assertFalse(mCore.ready(), "no sidecar serves yet");
        connect(ONE);
        connect(TWO);
        assertTrue(mCore.ready());
        advance(2 * PoolTiming.HEARTBEAT_INTERVAL_MILLIS);
    }

    /** Advances the time while both sidecars send heartbeats and report all their capacity free. */
    void advance(long millis) {
        for (long passed = 0; passed < millis; passed += PoolTiming.HEARTBEAT_INTERVAL_MILLIS) {
            mNow += PoolTiming.HEARTBEAT_INTERVAL_MILLIS;
            reportRoom(ONE, 16, List.of());
            reportRoom(TWO, 16, List.of());
            tick();
        }
    }

    void configure(long version) {
        PoolQueue queue =
                new PoolQueue("checks", "host", "/c/", "ledger", 0, 3, 1.6, 60, PATIENCE_MILLIS);
        mCore.handle(
                new PoolEntryEvent.ConfigurationRead(
                        new PoolConfiguration(version, List.of(queue))),
                mNow);
        collectActions();
    }

    void connect(NodeId sidecar) {
        mCore.handle(
                new PoolEntryEvent.SidecarAnnounced(
                        new PoolMessage.Hello(
                                sidecar,
                                "here",
                                "target-" + sidecar.name(),
                                "ledger",
                                new Demand(16, 1_000, 0),
                                List.of(),
                                0,
                                0)),
                mNow);
        reportRoom(sidecar, 16, List.of());
    }

    /** Lets a sidecar report its state; its target has answered all starts. */
    void reportRoom(NodeId sidecar, double cores, List<String> orphans) {
        reportRoom(sidecar, cores, Long.MAX_VALUE, orphans);
    }

    void reportRoom(NodeId sidecar, double cores, long settledStarts, List<String> orphans) {
        mCore.handle(
                new PoolEntryEvent.SidecarSent(
                        sidecar,
                        new PoolMessage.Room(
                                new Demand(cores, 1_000, 0),
                                true,
                                mNow,
                                0,
                                settledStarts,
                                orphans)),
                mNow);
        collectActions();
    }

    void submit(String id, int tasks, double cores) {
        submit(id, tasks, new Demand(cores, 1, 0));
    }

    void submit(String id, int tasks, Demand demand) {
        submit(id, tasks, demand, 30_000);
    }

    void submit(String id, int tasks, Demand demand, long waitMillis) {
        mLastToken++;
        PoolJob job = job(id, tasks, demand, waitMillis);
        mCore.handle(new PoolEntryEvent.JobSubmitted(mLastToken, job), mNow);
        collectActions();
    }

    PoolJob job(String id, int tasks, Demand demand, long waitMillis) {
        PoolStep step =
                new PoolStep(
                        tasks,
                        demand,
                        TASK_MILLIS,
                        List.of(),
                        Optional.empty(),
                        Optional.empty(),
                        0);
        return new PoolJob(id, "checks", "payload", List.of(step), mNow + waitMillis);
    }

    void report(Order order, ReportKind kind) {
        mCore.handle(
                new PoolEntryEvent.SidecarSent(
                        order.sidecar(),
                        new PoolMessage.TaskReports(List.of(new TaskReport(order.run(), kind)))),
                mNow);
        collectActions();
    }

    void tick() {
        mCore.handle(new PoolEntryEvent.Tick(), mNow);
        collectActions();
    }

    void collectActions() {
        for (PoolEntryAction action : mCore.actions()) {
            switch (action) {
                case PoolEntryAction.AnswerCaller answer -> mAnswers.add(answer.answer());
                case PoolEntryAction.SendToSidecar send -> onSent(send);
                case PoolEntryAction.SendToPeer send -> mSentToPeers.add(send.message());
                case PoolEntryAction.AnswerPeer answer -> mSentToPeers.add(answer.message());
                case PoolEntryAction.DisconnectPeer disconnect ->
                        mDisconnectedPeers.add(disconnect.peer());
                case PoolEntryAction.DisconnectSidecar disconnect -> {}
            }
        }
    }

    void onSent(PoolEntryAction.SendToSidecar send) {
        if (send.message() instanceof PoolMessage.Start start) {
            start.tasks().forEach(task -> mOrders.add(new Order(send.sidecar(), task.run())));
        }
        if (send.message() instanceof PoolMessage.Stop stop) {
            mOrderedStops.addAll(stop.runs());
        }
    }
}
