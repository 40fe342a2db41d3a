package org.jackdawsaddle.internal.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.pool.TargetLife;
import org.jackdawsaddle.pool.TargetPort.StartReply;
import org.jackdawsaddle.standin.platform.WorkerModel;

/** A real sidecar's decisions in a {@link PoolWalk}, with a model of its worker. */
final class WalkedSidecar extends WalkedProcess {
    final int mIndex;
    PoolSidecarCore mCore;
    WorkerModel mWorker;
    long mSequence;
    Optional<TargetLife> mKept = Optional.empty();
    final Map<Integer, Long> mConnections = new HashMap<>();
    final Map<Integer, NodeId> mNodes = new HashMap<>();

    WalkedSidecar(PoolWalk walk, int index) {
        super(walk, "sidecar-" + index);
        mIndex = index;
        mWorker = new WorkerModel(PoolWalk.CORES, 1.0 + 0.3 * index, mWalk.mNow);
    }

    @Override
    void create() {
        mCore =
                new PoolSidecarCore(
                        new NodeId(mName, mLife), "here", mWalk.mNow, WorkerModel.LEASE_MILLIS);
        mConnections.clear();
        mNodes.clear();
        int life = mLife;
        mKept.ifPresent(target ->
                run(
                        life,
                        () ->
                                mCore.handle(
                                        new PoolSidecarEvent.TargetRecalled(target), mWalk.mNow)));
        mWalk.after(mWalk.mRandom.nextInt(1_000), () -> announce(life));
        dial(life);
    }

    /** The store keeps it, as a rule. */
    private void keep(TargetLife target) {
        boolean kept = mWalk.mRandom.nextInt(4) > 0;
        int life = mLife;
        if (kept) {
            mKept = Optional.of(target);
        }
        mWalk.after(
                5,
                () ->
                        run(
                                life,
                                () ->
                                        mCore.handle(
                                                new PoolSidecarEvent.TargetKept(target, kept),
                                                mWalk.mNow)));
    }

    private void announce(int life) {
        if (mUp && life == mLife) {
            mSequence++;
            TargetLife target = life();
            run(life, () -> mCore.handle(new PoolSidecarEvent.TargetAnnounced(target), mWalk.mNow));
            mWalk.after(1_000, () -> announce(life));
        }
    }

    private TargetLife life() {
        return new TargetLife(
                "worker-" + mIndex,
                mWorker.startedAt(),
                mSequence,
                "ledger",
                "",
                new Demand(PoolWalk.CORES, 1 << 16, 0),
                List.of(),
                false,
                mWorker.clock(mWalk.mNow));
    }

    private void dial(int life) {
        if (!mUp || life != mLife) {
            return;
        }
        for (WalkedEntry entry : mWalk.mEntries) {
            boolean cut =
                    mWalk.mToSidecar[entry.mIndex][mIndex].mCut
                            || mWalk.mToEntry[entry.mIndex][mIndex].mCut;
            if (!mConnections.containsKey(entry.mIndex) && entry.mUp && !cut) {
                long connection = ++mWalk.mNumber;
                NodeId node = new NodeId(entry.mName, entry.mLife);
                run(
                        life,
                        () -> {
                            mConnections.put(entry.mIndex, connection);
                            mNodes.put(entry.mIndex, node);
                            mCore.handle(new PoolSidecarEvent.EntryConnected(node), mWalk.mNow);
                        });
            }
        }
        mWalk.after(PoolWalk.RECONNECT_MILLIS, () -> dial(life));
    }

    void receive(int entry, long connection, PoolMessage message) {
        if (mConnections.getOrDefault(entry, 0L) == connection) {
            mCore.handle(new PoolSidecarEvent.EntrySent(mNodes.get(entry), message), mWalk.mNow);
        }
    }

    void closed(int entry, long connection) {
        if (mConnections.remove(entry, connection)) {
            mCore.handle(new PoolSidecarEvent.EntryLost(mNodes.get(entry)), mWalk.mNow);
        }
    }

    @Override
    void onTick() {
        mCore.handle(new PoolSidecarEvent.Tick(), mWalk.mNow);
    }

    @Override
    void perform() {
        for (PoolSidecarAction action : mCore.actions()) {
            switch (action) {
                case PoolSidecarAction.SendToEntry send -> send(send);
                case PoolSidecarAction.KeepTarget keep -> keep(keep.life());
                case PoolSidecarAction.DropEntry drop -> drop(drop.entry());
                case PoolSidecarAction.StartRun start -> start(start);
                case PoolSidecarAction.StopRun stop -> stop(stop);
                case PoolSidecarAction.Poll poll -> poll(poll);
            }
        }
    }

    private void send(PoolSidecarAction.SendToEntry send) {
        for (WalkedEntry entry : mWalk.mEntries) {
            Long connection = mConnections.get(entry.mIndex);
            if (connection != null && send.entry().equals(mNodes.get(entry.mIndex))) {
                int life = entry.mLife;
                mWalk.mToEntry[entry.mIndex][mIndex].carry(() ->
                        entry.run(life, () -> entry.receive(mIndex, connection, send.message())));
            }
        }
    }

    private void drop(NodeId node) {
        for (WalkedEntry entry : mWalk.mEntries) {
            if (node.equals(mNodes.get(entry.mIndex))) {
                Long connection = mConnections.remove(entry.mIndex);
                if (connection != null) {
                    int life = entry.mLife;
                    mWalk.mToEntry[entry.mIndex][mIndex].carry(
                            () -> entry.run(life, () -> entry.closed(mIndex, connection)));
                }
            }
        }
    }

    private void start(PoolSidecarAction.StartRun start) {
        int life = mLife;
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
                                    start.fence(),
                                    mWalk.mNow);
                    mWalk.note("worker " + mIndex + " starts " + start.run() + ": " + reply);
                    reply(life, start, reply);
                };
        order(order, () -> answer(life, start, StartReply.UNANSWERED));
    }

    private void reply(int life, PoolSidecarAction.StartRun start, StartReply reply) {
        mWalk.after(1, () -> answer(life, start, reply));
    }

    private void answer(int life, PoolSidecarAction.StartRun start, StartReply reply) {
        run(
                life,
                () ->
                        mCore.handle(
                                new PoolSidecarEvent.StartAnswered(start.run(), reply),
                                mWalk.mNow));
    }

    private void stop(PoolSidecarAction.StopRun stop) {
        int life = mLife;
        WorkerModel worker = mWorker;
        order(
                () -> {
                    mWalk.note("worker " + mIndex + " stops " + stop.run());
                    worker.stop(stop.run().task(), stop.run().run(), stop.fence(), mWalk.mNow);
                    mWalk.after(1, () -> stopped(life, stop, true));
                },
                () -> stopped(life, stop, false));
    }

    private void stopped(int life, PoolSidecarAction.StopRun stop, boolean answered) {
        run(
                life,
                () ->
                        mCore.handle(
                                new PoolSidecarEvent.StopAnswered(stop.run(), answered),
                                mWalk.mNow));
    }

    private void poll(PoolSidecarAction.Poll poll) {
        int life = mLife;
        WorkerModel worker = mWorker;
        boolean[] answered = {false};
        order(
                () -> pollUntil(life, worker, poll, mWalk.mNow + poll.waitMillis(), answered),
                () -> {
                    if (!answered[0]) {
                        lists(life, poll, worker, Optional.empty());
                    }
                });
    }

    private void pollUntil(
            int life,
            WorkerModel worker,
            PoolSidecarAction.Poll poll,
            long until,
            boolean[] answered) {
        if (worker != mWorker) {
            return;
        }
        var lists =
                worker.poll(
                        poll.leaseUntil().orElse(0L), poll.confirmed(), poll.fence(), mWalk.mNow);
        if (lists.ended().isEmpty() && mWalk.mNow < until) {
            mWalk.after(5, () -> pollUntil(life, worker, poll, until, answered));
        } else {
            answered[0] = true;
            mWalk.after(1, () -> lists(life, poll, worker, Optional.of(lists)));
        }
    }

    private void lists(
            int life,
            PoolSidecarAction.Poll poll,
            WorkerModel worker,
            Optional<org.jackdawsaddle.pool.TargetLists> lists) {
        run(
                life,
                () ->
                        mCore.handle(
                                new PoolSidecarEvent.ListsAnswered(
                                        poll.life(), poll.number(), lists),
                                mWalk.mNow));
    }

    /** Carries out an order soon, or now and then seconds later and without an answer. */
    private void order(Runnable order, Runnable unanswered) {
        boolean late = mWalk.mLateShare > 0 && mWalk.mRandom.nextDouble() < mWalk.mLateShare;
        mWalk.after(late ? 2_000 + mWalk.mRandom.nextInt(10_000) : 1, order);
        mWalk.after(PoolWalk.ORDER_PATIENCE_MILLIS + 250, unanswered);
    }
}
