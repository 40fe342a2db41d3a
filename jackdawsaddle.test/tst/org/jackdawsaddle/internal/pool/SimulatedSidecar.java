package org.jackdawsaddle.internal.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.pool.TargetGateway.StartReply;
import org.jackdawsaddle.pool.TargetIncarnation;
import org.jackdawsaddle.standin.platform.WorkerModel;

/**
 * A sidecar with a real {@link PoolSidecarCore} and a model of its worker in a {@link
 * PoolSimulation}.
 */
final class SimulatedSidecar extends SimulatedProcess {
    final int mIndex;
    PoolSidecarCore mCore;
    WorkerModel mWorker;
    long mSequence;
    Optional<TargetIncarnation> mSaved = Optional.empty();
    final Map<Integer, Long> mConnections = new HashMap<>();
    final Map<Integer, NodeId> mNodes = new HashMap<>();

    SimulatedSidecar(PoolSimulation simulation, int index) {
        super(simulation, "sidecar-" + index);
        mIndex = index;
        mWorker = new WorkerModel(PoolSimulation.CORES, 1.0 + 0.3 * index, mSimulation.mNow);
    }

    @Override
    void create() {
        mCore =
                new PoolSidecarCore(
                        new NodeId(mName, mIncarnation),
                        "here",
                        mSimulation.mNow,
                        WorkerModel.LEASE_MILLIS);
        mConnections.clear();
        mNodes.clear();
        int incarnation = mIncarnation;
        mSaved.ifPresent(target ->
                run(
                        incarnation,
                        () ->
                                mCore.handle(
                                        new PoolSidecarEvent.TargetLoaded(target),
                                        mSimulation.mNow)));
        mSimulation.after(mSimulation.mRandom.nextInt(1_000), () -> announce(incarnation));
        dial(incarnation);
    }

    /** Saves the target's incarnation; 1 attempt in 4 fails. */
    private void save(TargetIncarnation target) {
        boolean saved = mSimulation.mRandom.nextInt(4) > 0;
        int incarnation = mIncarnation;
        if (saved) {
            mSaved = Optional.of(target);
        }
        mSimulation.after(
                5,
                () ->
                        run(
                                incarnation,
                                () ->
                                        mCore.handle(
                                                new PoolSidecarEvent.TargetSaved(target, saved),
                                                mSimulation.mNow)));
    }

    private void announce(int incarnation) {
        if (mRunning && incarnation == mIncarnation) {
            mSequence++;
            TargetIncarnation target = target();
            run(
                    incarnation,
                    () ->
                            mCore.handle(
                                    new PoolSidecarEvent.TargetAnnounced(target),
                                    mSimulation.mNow));
            mSimulation.after(1_000, () -> announce(incarnation));
        }
    }

    private TargetIncarnation target() {
        return new TargetIncarnation(
                "worker-" + mIndex,
                mWorker.startedAt(),
                mSequence,
                "ledger",
                "",
                new Demand(PoolSimulation.CORES, 1 << 16, 0),
                List.of(),
                false,
                mWorker.clock(mSimulation.mNow));
    }

    private void dial(int incarnation) {
        if (!mRunning || incarnation != mIncarnation) {
            return;
        }
        for (SimulatedEntry entry : mSimulation.mEntries) {
            boolean partitioned =
                    mSimulation.mToSidecar[entry.mIndex][mIndex].mPartitioned
                            || mSimulation.mToEntry[entry.mIndex][mIndex].mPartitioned;
            if (!mConnections.containsKey(entry.mIndex) && entry.mRunning && !partitioned) {
                long connection = ++mSimulation.mNumber;
                NodeId node = new NodeId(entry.mName, entry.mIncarnation);
                run(
                        incarnation,
                        () -> {
                            mConnections.put(entry.mIndex, connection);
                            mNodes.put(entry.mIndex, node);
                            mCore.handle(
                                    new PoolSidecarEvent.EntryConnected(node), mSimulation.mNow);
                        });
            }
        }
        mSimulation.after(PoolSimulation.RECONNECT_MILLIS, () -> dial(incarnation));
    }

    void receive(int entry, long connection, PoolMessage message) {
        if (mConnections.getOrDefault(entry, 0L) == connection) {
            mCore.handle(
                    new PoolSidecarEvent.EntrySent(mNodes.get(entry), message), mSimulation.mNow);
        }
    }

    void closed(int entry, long connection) {
        if (mConnections.remove(entry, connection)) {
            mCore.handle(new PoolSidecarEvent.EntryLost(mNodes.get(entry)), mSimulation.mNow);
        }
    }

    @Override
    void onTick() {
        mCore.handle(new PoolSidecarEvent.Tick(), mSimulation.mNow);
    }

    @Override
    void perform() {
        for (PoolSidecarAction action : mCore.actions()) {
            switch (action) {
                case PoolSidecarAction.SendToEntry send -> send(send);
                case PoolSidecarAction.SaveTarget save -> save(save.target());
                case PoolSidecarAction.DisconnectEntry disconnect -> disconnect(disconnect.entry());
                case PoolSidecarAction.StartRun start -> start(start);
                case PoolSidecarAction.StopRun stop -> stop(stop);
                case PoolSidecarAction.Poll poll -> poll(poll);
            }
        }
    }

    private void send(PoolSidecarAction.SendToEntry send) {
        for (SimulatedEntry entry : mSimulation.mEntries) {
            Long connection = mConnections.get(entry.mIndex);
            if (connection != null && send.entry().equals(mNodes.get(entry.mIndex))) {
                int incarnation = entry.mIncarnation;
                mSimulation.mToEntry[entry.mIndex][mIndex].deliver(() ->
                        entry.run(
                                incarnation,
                                () -> entry.receive(mIndex, connection, send.message())));
            }
        }
    }

    private void disconnect(NodeId node) {
        for (SimulatedEntry entry : mSimulation.mEntries) {
            if (node.equals(mNodes.get(entry.mIndex))) {
                Long connection = mConnections.remove(entry.mIndex);
                if (connection != null) {
                    int incarnation = entry.mIncarnation;
                    mSimulation.mToEntry[entry.mIndex][mIndex].deliver(
                            () -> entry.run(incarnation, () -> entry.closed(mIndex, connection)));
                }
            }
        }
    }

    private void start(PoolSidecarAction.StartRun start) {
        int incarnation = mIncarnation;
        WorkerModel worker = mWorker;
        Runnable order =
                () -> {
                    if (worker != mWorker) {
                        return;
                    }
                    StartReply reply =
                            worker.start(
                                    start.run().task(),
                                    start.run().run(),
                                    start.payload(),
                                    start.leaseUntil(),
                                    start.fencingToken(),
                                    mSimulation.mNow);
                    mSimulation.log("worker " + mIndex + " starts " + start.run() + ": " + reply);
                    reply(incarnation, start, reply);
                };
        order(order, () -> answer(incarnation, start, StartReply.UNANSWERED));
    }

    private void reply(int incarnation, PoolSidecarAction.StartRun start, StartReply reply) {
        mSimulation.after(1, () -> answer(incarnation, start, reply));
    }

    private void answer(int incarnation, PoolSidecarAction.StartRun start, StartReply reply) {
        run(
                incarnation,
                () ->
                        mCore.handle(
                                new PoolSidecarEvent.StartAnswered(start.run(), reply),
                                mSimulation.mNow));
    }

    private void stop(PoolSidecarAction.StopRun stop) {
        int incarnation = mIncarnation;
        WorkerModel worker = mWorker;
        order(
                () -> {
                    mSimulation.log("worker " + mIndex + " stops " + stop.run());
                    worker.stop(
                            stop.run().task(),
                            stop.run().run(),
                            stop.fencingToken(),
                            mSimulation.mNow);
                    mSimulation.after(1, () -> stopped(incarnation, stop, true));
                },
                () -> stopped(incarnation, stop, false));
    }

    private void stopped(int incarnation, PoolSidecarAction.StopRun stop, boolean answered) {
        run(
                incarnation,
                () ->
                        mCore.handle(
                                new PoolSidecarEvent.StopAnswered(stop.run(), answered),
                                mSimulation.mNow));
    }

    private void poll(PoolSidecarAction.Poll poll) {
        int incarnation = mIncarnation;
        WorkerModel worker = mWorker;
        boolean[] answered = {false};
        order(
                () ->
                        answerPollAfter(
                                incarnation,
                                worker,
                                poll,
                                mSimulation.mNow + poll.waitMillis(),
                                answered),
                () -> {
                    if (!answered[0]) {
                        pollAnswered(incarnation, poll, worker, Optional.empty());
                    }
                });
    }

    private void answerPollAfter(
            int incarnation,
            WorkerModel worker,
            PoolSidecarAction.Poll poll,
            long until,
            boolean[] answered) {
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
            mSimulation.after(5, () -> answerPollAfter(incarnation, worker, poll, until, answered));
        } else {
            answered[0] = true;
            mSimulation.after(
                    1, () -> pollAnswered(incarnation, poll, worker, Optional.of(snapshot)));
        }
    }

    private void pollAnswered(
            int incarnation,
            PoolSidecarAction.Poll poll,
            WorkerModel worker,
            Optional<org.jackdawsaddle.pool.RunSnapshot> snapshot) {
        run(
                incarnation,
                () ->
                        mCore.handle(
                                new PoolSidecarEvent.PollAnswered(
                                        poll.target(), poll.number(), snapshot),
                                mSimulation.mNow));
    }

    /** Executes an order soon, or sometimes seconds later and after its timeout. */
    private void order(Runnable order, Runnable unanswered) {
        boolean late =
                mSimulation.mLateProbability > 0
                        && mSimulation.mRandom.nextDouble() < mSimulation.mLateProbability;
        mSimulation.after(late ? 2_000 + mSimulation.mRandom.nextInt(10_000) : 1, order);
        mSimulation.after(PoolSimulation.ORDER_TIMEOUT_MILLIS + 250, unanswered);
    }
}
