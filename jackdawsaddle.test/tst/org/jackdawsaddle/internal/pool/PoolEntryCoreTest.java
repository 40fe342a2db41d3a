package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.pool.PoolAnswer;
import org.testng.annotations.Test;

/** Tests how {@link PoolEntryCore} admits, places, retries and answers jobs, and treats peers. */
public class PoolEntryCoreTest extends PoolEntryCoreTestBase {
    @Test
    public void answersOnceAllTasksAreDone() {
        submit("aa", 2, 4);
        assertEquals(mOrders.size(), 2);
        report(mOrders.get(0), ReportKind.DONE);
        assertEquals(mAnswers, List.of());
        report(mOrders.get(1), ReportKind.DONE);
        assertEquals(mAnswers, List.of(new PoolAnswer.Succeeded()));
    }

    @Test
    public void placesNoMoreTasksThanTheFreeCapacityAllows() {
        submit("aa", 9, 4);
        assertEquals(mOrders.size(), 8, "two targets of 16 cores");
    }

    @Test
    public void retriesAFailedTaskOnAnotherTargetUntilItsAttemptsAreUsed() {
        submit("aa", 1, 4);
        report(mOrders.get(0), ReportKind.FAILED);
        assertEquals(mOrders.size(), 2);
        assertFalse(mOrders.get(1).sidecar().equals(mOrders.get(0).sidecar()));
        assertEquals(mOrders.get(1).run().run(), 2);
        report(mOrders.get(1), ReportKind.FAILED);
        report(mOrders.get(2), ReportKind.FAILED);
        assertEquals(mAnswers.size(), 1);
        assertTrue(mAnswers.get(0) instanceof PoolAnswer.Failed);
    }

    @Test
    public void skipsRunNumbersThatATargetHasSeen() {
        submit("aa", 1, 4);
        report(mOrders.get(0), ReportKind.OUTDATED);
        assertTrue(mOrders.get(1).run().run() > 2);
    }

    @Test
    public void failsAJobThatFitsNoTargetAfterDiscovery() {
        submit("aa", 1, 17);
        assertEquals(mAnswers, List.of());
        advance(450);
        assertTrue(mAnswers.get(0) instanceof PoolAnswer.Failed);
    }

    @Test
    public void holdsJobsUntilSidecarsHaveHadTimeToConnect() {
        mCore = new PoolEntryCore("entry", LEASE_MILLIS, RESEND_MILLIS, 0);
        configure(1);
        for (int job = 0; job < 20; job++) {
            submit("b" + job, 2, 16);
        }
        mNow += 400;
        tick();
        assertEquals(mAnswers, List.of(), "no sidecar is known yet");
        connect(ONE);
        tick();
        tick();
        assertEquals(mOrders.size(), 1);
        submit("cc", 2, 16);
        assertEquals(mAnswers, List.of(), "the other sidecars may still connect");
    }

    @Test
    public void joinsARepeatedRequestToTheRunningJob() {
        submit("aa", 1, 4);
        submit("aa", 1, 4);
        assertEquals(mOrders.size(), 1);
        report(mOrders.get(0), ReportKind.DONE);
        assertEquals(mAnswers.size(), 2);
        submit("aa", 1, 4);
        assertEquals(mAnswers.size(), 3, "the answer is retained for a while");
    }

    @Test
    public void refusesAJobThatHasWaitedTooLong() {
        submit("aa", 8, 4);
        submit("bb", 1, 4);
        assertEquals(mOrders.size(), 8);
        mNow += 3 * (TASK_MILLIS * 2 + 60);
        tick();
        assertTrue(mAnswers.stream().anyMatch(PoolAnswer.Refused.class::isInstance));
    }

    @Test
    public void refusesARequestThatWasFirstSentTooLongAgoUnlessThereIsFreeCapacity() {
        submit("ab", 1, new Demand(4, 1, 0), PATIENCE_MILLIS - RESEND_MILLIS);
        assertEquals(mOrders.size(), 1);
        report(mOrders.get(0), ReportKind.DONE);
        mAnswers.clear();
        submit("aa", 8, 4);
        submit("bb", 1, new Demand(4, 1, 0), PATIENCE_MILLIS - RESEND_MILLIS);
        assertTrue(mAnswers.get(0) instanceof PoolAnswer.Refused, "it was sent 1.3 s ago");
        submit("cc", 1, new Demand(4, 1, 0), PATIENCE_MILLIS);
        assertEquals(mAnswers.size(), 1);
    }

    @Test
    public void refusesAJobBehindMoreWorkThanItCanWaitFor() {
        submit("aa", 2, 16);
        for (int job = 0; job < 20; job++) {
            submit("b" + job, 2, 16);
        }
        assertTrue(mAnswers.stream().anyMatch(PoolAnswer.Refused.class::isInstance));
    }

    @Test
    public void doesNotBlockOtherTasksBehindOneThatNeedsRareTargets() {
        submit("aa", 1, new Demand(1, 1, 1));
        submit("bb", 1, 4);
        assertEquals(mOrders.size(), 1);
        assertTrue(mOrders.get(0).run().task().startsWith("bb"));
    }

    @Test
    public void waitsForTheRunsOfAnAbandonedJobBeforeRunningItAgain() {
        submit("aa", 1, 4);
        mCore.handle(new PoolEntryEvent.JobCancelled("aa"), mNow);
        collectActions();
        assertEquals(mOrderedStops, List.of(mOrders.get(0).run()));
        assertTrue(mAnswers.get(0) instanceof PoolAnswer.Abandoned);
        submit("aa", 1, 4);
        assertEquals(mOrders.size(), 1);
        report(mOrders.get(0), ReportKind.ENDED);
        assertEquals(mOrders.size(), 2);
    }

    @Test
    public void waitsForRunsThatASidecarStopsForALostEntry() {
        reportRoom(ONE, 16, List.of("00000000000000aa"));
        submit("00000000000000aa", 1, 4);
        assertEquals(mOrders.size(), 0);
        reportRoom(ONE, 16, List.of());
        assertEquals(mOrders.size(), 1);
    }

    @Test
    public void answersEveryJobByTheWorkDeadline() {
        submit("aa", 9, 4);
        mCore.handle(new PoolEntryEvent.LeaveRequested(mNow), mNow);
        tick();
        assertEquals(mAnswers, List.of(new PoolAnswer.Abandoned("shutting down")));
    }

    @Test
    public void retriesAStalledRun() {
        submit("aa", 1, 4);
        Order first = mOrders.get(0);
        advance(1_000);
        assertEquals(mOrderedStops, List.of(first.run()));
        assertEquals(mOrders.size(), 1, "not before the sidecar has reported its end");
        report(first, ReportKind.ENDED);
        assertEquals(mOrders.size(), 2);
    }

    @Test
    public void placesTheRunsOfADeadSidecarElsewhereOnceTheirLeasesHaveExpired() {
        submit("aa", 1, 4);
        NodeId dead = mOrders.get(0).sidecar();
        NodeId other = dead.equals(ONE) ? TWO : ONE;
        mCore.handle(new PoolEntryEvent.SidecarLost(dead), mNow);
        collectActions();
        for (long passed = 0; passed < PoolTiming.goneAfterMillis(LEASE_MILLIS); passed += 100) {
            assertEquals(mOrders.size(), 1, "after " + passed);
            mNow += 100;
            reportRoom(other, 16, List.of());
            tick();
        }
        mNow += 100;
        reportRoom(other, 16, List.of());
        tick();
        assertEquals(mOrders.size(), 2);
    }

    @Test
    public void keepsSidecarsConnectedAfterItsOwnPause() {
        submit("aa", 1, 4);
        tick();
        mNow += 10_000;
        tick();
        assertTrue(mCore.ready(), "sidecars are still connected");
    }

    @Test
    public void abandonsRequestsReadRightAfterAPauseLongerThanTheResendDelay() {
        mNow += RESEND_MILLIS - 1;
        submit("aa", 1, 4);
        assertEquals(mAnswers, List.of(), "the pause is shorter than the resend delay");
        mNow += RESEND_MILLIS;
        submit("bb", 1, 4);
        assertTrue(mAnswers.get(0) instanceof PoolAnswer.Abandoned);
        mNow += PoolTiming.PAUSE_THRESHOLD_MILLIS + 1;
        submit("dd", 1, 4);
        assertTrue(
                mAnswers.get(1) instanceof PoolAnswer.Abandoned,
                "it may have waited in the backlog");
        advance(2 * PoolTiming.HEARTBEAT_INTERVAL_MILLIS);
        assertTrue(mAnswers.get(2) instanceof PoolAnswer.Refused, "the first job is too late");
        submit("cc", 1, 4);
        assertEquals(mAnswers.size(), 3, mAnswers.toString());
    }

    @Test
    public void keepsTheConfigurationWithTheHigherVersion() {
        configure(5);
        configure(4);
        assertEquals(mCore.configuration().version(), 5);
    }

    /** Regression test: a cancellation at another entry was acknowledged, and the job went on. */
    @Test
    public void cancelsAJobOfAnotherEntry() {
        NodeId peer = new NodeId("peer", 1);
        mCore.handle(new PoolEntryEvent.PeerConnected(peer), mNow);
        collectActions();
        mSentToPeers.clear();
        mCore.handle(new PoolEntryEvent.JobCancelled("aa"), mNow);
        collectActions();
        assertEquals(mSentToPeers, List.of(new PoolMessage.JobCancellation("aa")));
        submit("bb", 1, 4);
        mCore.handle(
                new PoolEntryEvent.PeerSent(peer, new PoolMessage.JobCancellation("bb")), mNow);
        collectActions();
        assertEquals(mOrderedStops, List.of(mOrders.get(0).run()));
    }

    @Test
    public void sendsTheConfigurationToAPeerWithAnOlderOne() {
        configure(5);
        NodeId peer = new NodeId("peer", 1);
        mCore.handle(new PoolEntryEvent.PeerConnected(peer), mNow);
        collectActions();
        mSentToPeers.clear();
        mCore.handle(
                new PoolEntryEvent.PeerAnswered(peer, new PoolMessage.Ping(4, false, 0)), mNow);
        collectActions();
        assertTrue(mSentToPeers.get(0) instanceof PoolMessage.ConfigurationPush);
        mCore.handle(new PoolEntryEvent.PeerSent(peer, mSentToPeers.get(0)), mNow);
        assertEquals(mCore.configuration().version(), 5);
    }

    @Test
    public void reconnectsToAPeerThatSendsButDoesNotAnswer() {
        NodeId peer = new NodeId("peer", 1);
        mCore.handle(new PoolEntryEvent.PeerConnected(peer), mNow);
        for (long passed = 0; passed <= PoolTiming.PEER_TIMEOUT_MILLIS; passed += 20) {
            mNow += 20;
            mCore.handle(
                    new PoolEntryEvent.PeerSent(peer, new PoolMessage.Ping(1, false, 0)), mNow);
            tick();
        }
        assertEquals(
                mDisconnectedPeers, List.of(peer), "the peer sends messages, but does not answer");
    }
}
