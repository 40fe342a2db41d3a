package org.jackdawsaddle.internal.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongConsumer;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.pool.sidecar.PoolSidecarAction;
import org.jackdawsaddle.internal.pool.sidecar.PoolSidecarCore;
import org.jackdawsaddle.internal.pool.sidecar.PoolSidecarEvent;
import org.jackdawsaddle.pool.TargetGateway.PollReply;
import org.jackdawsaddle.pool.TargetGateway.StartReply;
import org.jackdawsaddle.pool.TargetIncarnation;
import org.jackdawsaddle.standin.platform.WorkerModel;

/**
 * A sidecar with a real {@link PoolSidecarCore} and a model of its worker in a {@link
 * PoolSimulation}.
 */
final class SimulatedSidecar extends SimulatedNode {
    final int mIndex;
    PoolSidecarCore mCore;
    WorkerModel mWorker;

    /** Until when the worker is down after a crash, in milliseconds since the epoch. */
    private long mWorkerDownUntil;

    /** Until when the worker refuses connections while its runs go on, in the same unit. */
    long mRefusesUntil;

    /** Until when stop orders do not reach the worker, in the same unit. */
    long mStopsLostUntil;

    /** The number of the worker's latest announcement. */
    long mAnnouncementSequence;

    /** The incarnation of the worker that is saved in the store; survives restarts. */
    Optional<TargetIncarnation> mSavedTarget = Optional.empty();

    /** The number of the current connection to each entry, by the index of the entry. */
    final Map<Integer, Long> mConnectionNumbers = new HashMap<>();

    /** The node id of each entry at its latest connection, by the index of the entry. */
    final Map<Integer, NodeId> mEntryNodes = new HashMap<>();

    SimulatedSidecar(PoolSimulation simulation, int index) {
        super(simulation, "sidecar-" + index);
        mIndex = index;
        mWorker =
                new WorkerModel(
                        simulation.mShape.coresPerWorker(),
                        simulation.mShape.speedOf(index),
                        simulation.mNow);
    }

    @Override
    void startCore() {
        mCore =
                new PoolSidecarCore(
                        new NodeId(mName, mIncarnation),
                        mSimulation.mShape.dataCentreOf(mIndex),
                        mSimulation.mNow,
                        WorkerModel.LEASE_MILLIS);
        mConnectionNumbers.clear();
        mEntryNodes.clear();
        int sidecarIncarnation = mIncarnation;
        mSavedTarget.ifPresent(target ->
                runIfAlive(
                        sidecarIncarnation,
                        () ->
                                mCore.handle(
                                        new PoolSidecarEvent.TargetLoaded(target),
                                        mSimulation.mNow)));
        mSimulation.after(mSimulation.mRandom.nextInt(1_000), () -> announce(sidecarIncarnation));
        connectToEntries(sidecarIncarnation);
    }

    /** Saves the target's incarnation; 1 attempt in 4 fails. */
    private void save(TargetIncarnation target) {
        boolean saved = mSimulation.mRandom.nextInt(4) > 0;
        int sidecarIncarnation = mIncarnation;
        mSavedTarget = saved ? Optional.of(target) : mSavedTarget;
        mSimulation.after(
                5,
                () ->
                        runIfAlive(
                                sidecarIncarnation,
                                () ->
                                        mCore.handle(
                                                new PoolSidecarEvent.TargetSaved(target, saved),
                                                mSimulation.mNow)));
    }

    /** Announces the worker, now and every second until this incarnation of the sidecar ends. */
    private void announce(int sidecarIncarnation) {
        if (mAlive && sidecarIncarnation == mIncarnation) {
            if (mSimulation.mNow < mWorkerDownUntil) {
                mSimulation.at(mWorkerDownUntil, () -> announce(sidecarIncarnation));
                return;
            }
            mAnnouncementSequence++;
            TargetIncarnation target = target();
            runIfAlive(
                    sidecarIncarnation,
                    () ->
                            mCore.handle(
                                    new PoolSidecarEvent.TargetAnnounced(target),
                                    mSimulation.mNow));
            mSimulation.after(1_000, () -> announce(sidecarIncarnation));
        }
    }

    private boolean workerAcceptsConnections() {
        return mSimulation.mNow >= Math.max(mWorkerDownUntil, mRefusesUntil);
    }

    /** Ends the worker and all its runs without notice; its next incarnation starts later. */
    private void crashWorker() {
        mWorkerDownUntil = mSimulation.mNow + DeadlyTasks.DOWN_MILLIS;
        mWorker =
                new WorkerModel(
                        mSimulation.mShape.coresPerWorker(),
                        mSimulation.mShape.speedOf(mIndex),
                        mWorkerDownUntil);
        mAnnouncementSequence = 0;
    }

    private TargetIncarnation target() {
        return new TargetIncarnation(
                "worker-" + mIndex,
                mWorker.startedAt(),
                mAnnouncementSequence,
                PoolShape.SERVICE,
                "",
                new Demand(mWorker.cores(), 1 << 20, 0),
                List.of(),
                false,
                mWorker.clock(mSimulation.mNow));
    }

    /**
     * Connects to each entry that is alive, not connected and can send a welcome, now and at each
     * {@link PoolSimulation#RECONNECT_INTERVAL_MILLIS}. What the sidecar sends may be held back.
     */
    private void connectToEntries(int sidecarIncarnation) {
        if (!mAlive || sidecarIncarnation != mIncarnation) {
            return;
        }
        for (SimulatedEntry entry : mSimulation.mEntries) {
            boolean welcomed = !mSimulation.mLinksToSidecar[entry.mIndex][mIndex].mPartitioned;
            if (!mConnectionNumbers.containsKey(entry.mIndex) && entry.mAlive && welcomed) {
                long connectionNumber = ++mSimulation.mLastNumber;
                NodeId node = new NodeId(entry.mName, entry.mIncarnation);
                runIfAlive(
                        sidecarIncarnation,
                        () -> {
                            mConnectionNumbers.put(entry.mIndex, connectionNumber);
                            mEntryNodes.put(entry.mIndex, node);
                            mCore.handle(
                                    new PoolSidecarEvent.EntryConnected(node), mSimulation.mNow);
                        });
            }
        }
        mSimulation.after(
                PoolSimulation.RECONNECT_INTERVAL_MILLIS,
                () -> connectToEntries(sidecarIncarnation));
    }

    /** Handles a message from an entry; drops it if its connection was replaced or closed. */
    void onReceived(int entryIndex, long connectionNumber, PoolMessage message) {
        if (mConnectionNumbers.getOrDefault(entryIndex, 0L) == connectionNumber) {
            mCore.handle(
                    new PoolSidecarEvent.EntrySent(mEntryNodes.get(entryIndex), message),
                    mSimulation.mNow);
        }
    }

    /** Handles the end of a connection that the entry has closed. */
    void onClosed(int entryIndex, long connectionNumber) {
        if (mConnectionNumbers.remove(entryIndex, connectionNumber)) {
            mCore.handle(
                    new PoolSidecarEvent.EntryLost(mEntryNodes.get(entryIndex)), mSimulation.mNow);
        }
    }

    @Override
    void onTick() {
        mCore.handle(new PoolSidecarEvent.Tick(), mSimulation.mNow);
    }

    @Override
    long nextTickAt() {
        return mCore.nextTickAt();
    }

    @Override
    void perform() {
        for (PoolSidecarAction action : mCore.actions()) {
            switch (action) {
                case PoolSidecarAction.SendToEntry send -> send(send);
                case PoolSidecarAction.SaveTarget save -> save(save.target());
                case PoolSidecarAction.DisconnectEntry disconnect -> disconnect(disconnect.entry());
                case PoolSidecarAction.StartRun start -> sendStartOrder(start);
                case PoolSidecarAction.StopRun stop -> sendStopOrder(stop);
                case PoolSidecarAction.Poll poll -> sendPoll(poll);
            }
        }
    }

    private void send(PoolSidecarAction.SendToEntry send) {
        mSimulation.countMessage(send.message());
        for (SimulatedEntry entry : mSimulation.mEntries) {
            Long connectionNumber = mConnectionNumbers.get(entry.mIndex);
            if (connectionNumber != null && send.entry().equals(mEntryNodes.get(entry.mIndex))) {
                int entryIncarnation = entry.mIncarnation;
                mSimulation.mLinksToEntry[entry.mIndex][mIndex].deliver(() ->
                        entry.runIfAlive(
                                entryIncarnation,
                                () -> entry.onReceived(mIndex, connectionNumber, send.message())));
            }
        }
    }

    private void disconnect(NodeId node) {
        for (SimulatedEntry entry : mSimulation.mEntries) {
            if (node.equals(mEntryNodes.get(entry.mIndex))) {
                Long connectionNumber = mConnectionNumbers.remove(entry.mIndex);
                if (connectionNumber != null) {
                    int entryIncarnation = entry.mIncarnation;
                    mSimulation.mLinksToEntry[entry.mIndex][mIndex].deliver(() ->
                            entry.runIfAlive(
                                    entryIncarnation,
                                    () -> entry.onClosed(mIndex, connectionNumber)));
                }
            }
        }
    }

    /** Sends the worker a start order, which is lost if the worker restarts before it arrives. */
    private void sendStartOrder(PoolSidecarAction.StartRun start) {
        int sidecarIncarnation = mIncarnation;
        WorkerModel worker = mWorker;
        LongConsumer order =
                shiftMillis -> {
                    if (worker != mWorker) {
                        return;
                    }
                    if (!workerAcceptsConnections()) {
                        answerStartLater(sidecarIncarnation, start, StartReply.UNREACHABLE);
                        return;
                    }
                    StartReply reply =
                            worker.start(
                                    start.run().task(),
                                    start.run().run(),
                                    start.payload(),
                                    start.leaseUntil() + shiftMillis,
                                    start.fencingToken(),
                                    mSimulation.mNow);
                    mSimulation.log(
                            "worker " + mIndex + " told to start " + start.run() + ": " + reply);
                    answerStartLater(sidecarIncarnation, start, reply);
                    if (mSimulation.mDeadlyTasks.onStarted(start, reply)) {
                        mSimulation.after(
                                DeadlyTasks.CRASH_AFTER_MILLIS, () -> crash(worker, start.run()));
                    }
                };
        mSimulation.execute(
                order, () -> onStartAnswered(sidecarIncarnation, start, StartReply.UNANSWERED));
    }

    /** Crashes a worker under a run, unless it has crashed or the run was stopped before. */
    private void crash(WorkerModel worker, PoolMessage.Run run) {
        if (worker == mWorker && worker.runningTasks().contains(run.task())) {
            mSimulation.log("worker " + mIndex + " crashes under " + run);
            mSimulation.mDeadlyTasks.onCrashed(run.task());
            crashWorker();
        }
    }

    private void answerStartLater(
            int sidecarIncarnation, PoolSidecarAction.StartRun start, StartReply reply) {
        mSimulation.after(1, () -> onStartAnswered(sidecarIncarnation, start, reply));
    }

    private void onStartAnswered(
            int sidecarIncarnation, PoolSidecarAction.StartRun start, StartReply reply) {
        runIfAlive(
                sidecarIncarnation,
                () ->
                        mCore.handle(
                                new PoolSidecarEvent.StartAnswered(start.run(), reply),
                                mSimulation.mNow));
    }

    private void sendStopOrder(PoolSidecarAction.StopRun stop) {
        int sidecarIncarnation = mIncarnation;
        WorkerModel worker = mWorker;
        mSimulation.execute(
                shiftMillis -> {
                    if (!workerAcceptsConnections() || mSimulation.mNow < mStopsLostUntil) {
                        onStopAnswered(sidecarIncarnation, stop, false);
                        return;
                    }
                    mSimulation.log("worker " + mIndex + " told to stop " + stop.run());
                    worker.stop(
                            stop.run().task(),
                            stop.run().run(),
                            stop.fencingToken(),
                            mSimulation.mNow);
                    mSimulation.after(1, () -> onStopAnswered(sidecarIncarnation, stop, true));
                },
                () -> onStopAnswered(sidecarIncarnation, stop, false));
    }

    private void onStopAnswered(
            int sidecarIncarnation, PoolSidecarAction.StopRun stop, boolean confirmed) {
        runIfAlive(
                sidecarIncarnation,
                () ->
                        mCore.handle(
                                new PoolSidecarEvent.StopAnswered(stop.run(), confirmed),
                                mSimulation.mNow));
    }

    private void sendPoll(PoolSidecarAction.Poll poll) {
        int sidecarIncarnation = mIncarnation;
        WorkerModel worker = mWorker;
        boolean[] answered = {false};
        mSimulation.execute(
                shiftMillis -> {
                    if (!workerAcceptsConnections()) {
                        answered[0] = true;
                        onPollAnswered(sidecarIncarnation, poll, new PollReply.Unreachable());
                        return;
                    }
                    long leaseUntil = poll.leaseUntil().map(end -> end + shiftMillis).orElse(0L);
                    worker.poll(leaseUntil, 0, poll.fencingToken(), mSimulation.mNow);
                    long until = mSimulation.mNow + poll.waitMillis();
                    answerPollWhenDue(sidecarIncarnation, worker, poll, until, answered);
                },
                () -> {
                    if (!answered[0]) {
                        onPollAnswered(sidecarIncarnation, poll, new PollReply.Unanswered());
                    }
                });
    }

    /**
     * Answers a poll once a run has ended or the wait is over, unless the worker restarts before.
     *
     * @param until the end of the wait, in milliseconds since the epoch
     */
    private void answerPollWhenDue(
            int sidecarIncarnation,
            WorkerModel worker,
            PoolSidecarAction.Poll poll,
            long until,
            boolean[] answered) {
        if (mSimulation.mNow < mWorkerDownUntil) {
            answered[0] = true;
            onPollAnswered(sidecarIncarnation, poll, new PollReply.Unreachable());
            return;
        }
        if (worker != mWorker) {
            return;
        }
        var snapshot =
                worker.poll(
                        poll.leaseUntil().orElse(0L),
                        poll.ackCursor(),
                        poll.fencingToken(),
                        mSimulation.mNow);
        if (snapshot.ended().isEmpty() && mSimulation.mNow < until) {
            mSimulation.after(
                    5, () -> answerPollWhenDue(sidecarIncarnation, worker, poll, until, answered));
        } else {
            answered[0] = true;
            mSimulation.after(
                    1,
                    () ->
                            onPollAnswered(
                                    sidecarIncarnation, poll, new PollReply.Answered(snapshot)));
        }
    }

    private void onPollAnswered(
            int sidecarIncarnation, PoolSidecarAction.Poll poll, PollReply reply) {
        runIfAlive(
                sidecarIncarnation,
                () ->
                        mCore.handle(
                                new PoolSidecarEvent.PollAnswered(
                                        poll.target(), poll.number(), reply),
                                mSimulation.mNow));
    }
}
