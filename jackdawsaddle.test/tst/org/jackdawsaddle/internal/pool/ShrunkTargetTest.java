package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.pool.PoolAnswer;
import org.jackdawsaddle.pool.PoolJob;
import org.jackdawsaddle.pool.PoolStep;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what {@link PoolEntryCore} does with jobs while the capacity of a target has shrunk. */
public class ShrunkTargetTest {
    private static final NodeId SIDECAR = new NodeId("sidecar", 1);
    private static final double FULL_CORES = 16;
    private static final double HALF_CORES = 8;
    private static final long TASK_MILLIS = 1_000;

    private PoolEntryCore mCore;
    private long mNow;
    private double mCores;
    private double mUsedCores;
    private long mHandledStarts;
    private long mLastToken;
    private int mOrderCount;
    private final List<PoolAnswer> mAnswers = new ArrayList<>();

    @BeforeMethod
    public void createEntryWithOneSidecar() {
        mNow = 1_000_000;
        mUsedCores = 0;
        mHandledStarts = 0;
        mOrderCount = 0;
        mAnswers.clear();
        mCore = new PoolEntryCore("entry", 1_000, 1_300, 0);
        mCore.handle(
                new PoolEntryEvent.ConfigurationRead(PoolShape.small(1, 1).configuration()), mNow);
        announce(FULL_CORES);
        advance(2 * PoolTiming.HEARTBEAT_INTERVAL_MILLIS);
    }

    @Test
    public void refusesAtOnceAJobThatOnlyAGrownTargetCouldRun() {
        announce(HALF_CORES);
        submit("aa", 12);
        assertEquals(mAnswers.size(), 1);
        assertTrue(mAnswers.get(0) instanceof PoolAnswer.Refused, mAnswers.toString());
        announce(FULL_CORES);
        submit("bb", 12);
        assertEquals(mOrderCount, 1);
    }

    @Test
    public void keepsAWaitingJobWhenItsTargetShrinks() {
        submit("aa", 12);
        submit("bb", 12);
        announce(HALF_CORES);
        advance(500);
        assertEquals(mAnswers, List.of());
        mUsedCores = 0;
        announce(FULL_CORES);
        assertEquals(mOrderCount, 2);
    }

    @Test
    public void placesNothingWhileRunsUseMoreThanTheCapacity() {
        submit("aa", 12);
        announce(HALF_CORES);
        submit("bb", 1);
        assertEquals(mOrderCount, 1);
        mUsedCores = 0;
        report();
        assertEquals(mOrderCount, 2);
    }

    @Test
    public void refusesAJobWhileNoTargetIsKnown() {
        mCore = new PoolEntryCore("entry", 1_000, 1_300, 0);
        mCore.handle(
                new PoolEntryEvent.ConfigurationRead(PoolShape.small(1, 1).configuration()), mNow);
        submit("aa", 1);
        for (int tick = 0; tick < 200; tick++) {
            mNow += PoolTiming.TICK_INTERVAL_MILLIS;
            mCore.handle(new PoolEntryEvent.Tick(), mNow);
            collectActions();
        }
        assertEquals(mAnswers.size(), 1);
        assertTrue(mAnswers.get(0) instanceof PoolAnswer.Refused, mAnswers.toString());
    }

    private void advance(long millis) {
        for (long end = mNow + millis; mNow < end; ) {
            mNow += PoolTiming.HEARTBEAT_INTERVAL_MILLIS;
            report();
            mCore.handle(new PoolEntryEvent.Tick(), mNow);
            collectActions();
        }
    }

    private void announce(double cores) {
        mCores = cores;
        Demand capacity = new Demand(cores, 1_000, 0);
        mCore.handle(
                new PoolEntryEvent.SidecarAnnounced(
                        new PoolMessage.Hello(
                                SIDECAR, "here", "target", "ledger", capacity, List.of(), 0, 0)),
                mNow);
        report();
    }

    private void report() {
        Demand free = new Demand(mCores - mUsedCores, 1_000, 0);
        mCore.handle(
                new PoolEntryEvent.SidecarSent(
                        SIDECAR,
                        new PoolMessage.Room(
                                free, true, mNow, mHandledStarts, mHandledStarts, List.of())),
                mNow);
        collectActions();
    }

    private void submit(String id, double cores) {
        PoolStep step =
                new PoolStep(
                        1,
                        new Demand(cores, 1, 0),
                        TASK_MILLIS,
                        List.of(),
                        Optional.empty(),
                        Optional.empty(),
                        0);
        mLastToken++;
        PoolJob job = new PoolJob(id, "checks", "payload", List.of(step), mNow + 30_000);
        mCore.handle(new PoolEntryEvent.JobSubmitted(mLastToken, job), mNow);
        collectActions();
    }

    private void collectActions() {
        for (PoolEntryAction action : mCore.actions()) {
            if (action instanceof PoolEntryAction.AnswerCaller answer) {
                mAnswers.add(answer.answer());
            } else if (action instanceof PoolEntryAction.SendToSidecar send
                    && send.message() instanceof PoolMessage.Start start) {
                mHandledStarts = start.number();
                mOrderCount += start.tasks().size();
                start.tasks().forEach(task -> mUsedCores += task.demand().cores());
            }
        }
    }
}
