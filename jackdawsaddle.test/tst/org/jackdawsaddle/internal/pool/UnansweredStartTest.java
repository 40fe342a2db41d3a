package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.testng.annotations.Test;

/**
 * Guards against a task that is started elsewhere when its sidecar falls silent, although the
 * target may still carry out a start that it has left unanswered.
 */
public class UnansweredStartTest extends PoolEntryCoreTestBase {
    private static final String JOB = "00000000000000aa";
    private static final Demand DEMAND = new Demand(4, 1, 0);
    private static final NodeId PEER = new NodeId("peer", 1);
    private static final long SILENCE_MILLIS = PoolTiming.goneAfterMillis(LEASE_MILLIS) + 1_000;
    private static final long WAIT_MILLIS = 600;

    @Test
    public void keepsTheRunWhileItsTargetMayStartIt() {
        NodeId silent = startAndLoseSidecar(0);
        assertEquals(mOrders.size(), 1);
        connectAgain(silent);
        mCore.handle(new PoolEntryEvent.SidecarLost(silent), mNow);
        pass(SILENCE_MILLIS, other(silent));
        assertEquals(mOrders.size(), 1, "requested on an earlier connection");
    }

    @Test
    public void startsTheTaskElsewhereIfItsStartWasAnswered() {
        startAndLoseSidecar(1);
        assertEquals(mOrders.size(), 2);
    }

    @Test
    public void startsTheTaskElsewhereOnceANewProcessOfTheSidecarServes() {
        NodeId silent = startAndLoseSidecar(0);
        connect(new NodeId(silent.name(), 2));
        assertEquals(mOrders.size(), 2);
    }

    @Test
    public void startsTheTaskElsewhereOnceTheOrderHasExpired() {
        NodeId silent = startAndLoseSidecar(0);
        pass(PoolTiming.ORDER_EXPIRY_MILLIS, other(silent));
        assertEquals(mOrders.size(), 2);
    }

    /** Another entry may get the job next, and cannot reach the sidecar. */
    @Test
    public void tellsOtherEntriesOfAnEndedJob() {
        mCore.handle(new PoolEntryEvent.PeerConnected(PEER), mNow);
        submit(JOB, 1, DEMAND, WAIT_MILLIS);
        NodeId sidecar = mOrders.get(0).sidecar();
        reportRoom(sidecar, 12, 0, List.of());
        pass(WAIT_MILLIS / 2, other(sidecar), sidecar);
        assertEquals(unsettledJobsSent(), List.of(), "the job is active");
        pass(PoolTiming.STOP_TIMEOUT_MILLIS + WAIT_MILLIS, other(sidecar), sidecar);
        PoolMessage told = new PoolMessage.UnsettledJobs(List.of(JOB));
        assertEquals(unsettledJobsSent(), List.of(told));
        mCore.handle(new PoolEntryEvent.PeerConnected(new NodeId("late", 1)), mNow);
        collectActions();
        assertEquals(unsettledJobsSent(), List.of(told, told));
        report(mOrders.get(0), PoolMessage.ReportKind.ENDED);
        tick();
        PoolMessage none = new PoolMessage.UnsettledJobs(List.of());
        assertEquals(unsettledJobsSent(), List.of(told, told, none, none));
    }

    @Test
    public void holdsAJobBackThatAnotherEntryTellsOf() {
        receive(List.of(JOB));
        submit(JOB, 1, DEMAND, 30_000);
        tick();
        assertEquals(mOrders, List.of());
        receive(List.of());
        tick();
        assertEquals(mOrders.size(), 1);
    }

    private void receive(List<String> jobs) {
        mCore.handle(new PoolEntryEvent.PeerSent(PEER, new PoolMessage.UnsettledJobs(jobs)), mNow);
        advance(PoolTiming.HEARTBEAT_INTERVAL_MILLIS);
    }

    private List<PoolMessage> unsettledJobsSent() {
        return mSentToPeers.stream().filter(PoolMessage.UnsettledJobs.class::isInstance).toList();
    }

    /**
     * Starts a task and loses its sidecar for good.
     *
     * @param settledStarts what the sidecar reports before
     * @return the sidecar
     */
    private NodeId startAndLoseSidecar(long settledStarts) {
        submit(JOB, 1, DEMAND, 2 * PoolTiming.ORDER_EXPIRY_MILLIS);
        NodeId sidecar = mOrders.get(0).sidecar();
        reportRoom(sidecar, 12, settledStarts, List.of());
        mCore.handle(new PoolEntryEvent.SidecarLost(sidecar), mNow);
        pass(SILENCE_MILLIS, other(sidecar));
        return sidecar;
    }

    private void connectAgain(NodeId sidecar) {
        mCore.handle(
                new PoolEntryEvent.SidecarAnnounced(
                        new PoolMessage.Hello(
                                sidecar, "here", "t", "ledger", DEMAND, List.of(), 0, 0)),
                mNow);
    }

    private static NodeId other(NodeId sidecar) {
        return sidecar.equals(ONE) ? TWO : ONE;
    }

    /**
     * Advances the time while these sidecars send heartbeats, the last of them without progress.
     */
    private void pass(long millis, NodeId healthy, NodeId... unsettled) {
        for (long passed = 0; passed <= millis; passed += PoolTiming.HEARTBEAT_INTERVAL_MILLIS) {
            mNow += PoolTiming.HEARTBEAT_INTERVAL_MILLIS;
            reportRoom(healthy, 16, List.of());
            for (NodeId sidecar : unsettled) {
                reportRoom(sidecar, 12, 0, List.of());
            }
            tick();
        }
    }
}
