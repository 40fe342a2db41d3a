package org.jackdawsaddle.internal.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.standin.platform.WorkerModel;

/** A real entry's decisions in a {@link PoolWalk}. */
final class WalkedEntry extends WalkedProcess {
    final int mIndex;
    PoolEntryCore mCore;

    /** The connection of each sidecar. */
    final Map<Integer, Long> mConnections = new HashMap<>();

    final Map<Integer, NodeId> mNodes = new HashMap<>();
    final Map<Long, WalkedCaller> mCallers = new HashMap<>();

    WalkedEntry(PoolWalk walk, int index) {
        super(walk, "entry-" + index);
        mIndex = index;
    }

    @Override
    void create() {
        mCore = new PoolEntryCore(WorkerModel.LEASE_MILLIS, PoolWalk.RESEND_MILLIS);
        mConnections.clear();
        mNodes.clear();
        List<WalkedCaller> broken = List.copyOf(mCallers.values());
        mCallers.clear();
        broken.forEach(WalkedCaller::broken);
        mCore.handle(new PoolEntryEvent.ConfigurationRead(PoolWalk.CONFIGURATION), mWalk.mNow);
    }

    @Override
    void onTick() {
        mCore.handle(new PoolEntryEvent.Tick(), mWalk.mNow);
    }

    void receive(int sidecar, long connection, PoolMessage message) {
        if (message instanceof PoolMessage.Hello hello) {
            Long before = mConnections.put(sidecar, connection);
            NodeId known = mNodes.put(sidecar, hello.sidecar());
            if (before != null && before != connection && known.equals(hello.sidecar())) {
                mCore.handle(new PoolEntryEvent.SidecarLost(known), mWalk.mNow);
            }
            mCore.handle(new PoolEntryEvent.SidecarAnnounced(hello), mWalk.mNow);
        } else if (mConnections.getOrDefault(sidecar, 0L) == connection) {
            mCore.handle(new PoolEntryEvent.SidecarSent(mNodes.get(sidecar), message), mWalk.mNow);
        }
    }

    void closed(int sidecar, long connection) {
        if (mConnections.remove(sidecar, connection)) {
            mCore.handle(new PoolEntryEvent.SidecarLost(mNodes.get(sidecar)), mWalk.mNow);
        }
    }

    @Override
    void perform() {
        for (PoolEntryAction action : mCore.actions()) {
            switch (action) {
                case PoolEntryAction.AnswerCaller answer ->
                        Optional.ofNullable(mCallers.remove(answer.token()))
                                .ifPresent(caller -> caller.answered(answer.answer()));
                case PoolEntryAction.SendToSidecar send -> send(send);
                case PoolEntryAction.DropSidecar drop -> drop(drop.sidecar());
                case PoolEntryAction.SendToPeer send -> {}
                case PoolEntryAction.DropPeer drop -> {}
            }
        }
    }

    private void send(PoolEntryAction.SendToSidecar send) {
        for (WalkedSidecar sidecar : mWalk.mSidecars) {
            Long connection = mConnections.get(sidecar.mIndex);
            if (connection != null && send.sidecar().equals(mNodes.get(sidecar.mIndex))) {
                mWalk.mToSidecar[mIndex][sidecar.mIndex].carry(() ->
                        sidecar.run(
                                sidecar.mLife,
                                () -> sidecar.receive(mIndex, connection, send.message())));
            }
        }
    }

    private void drop(NodeId node) {
        for (WalkedSidecar sidecar : mWalk.mSidecars) {
            if (node.equals(mNodes.get(sidecar.mIndex))) {
                Long connection = mConnections.remove(sidecar.mIndex);
                if (connection != null) {
                    mWalk.mToSidecar[mIndex][sidecar.mIndex].carry(() ->
                            sidecar.run(sidecar.mLife, () -> sidecar.closed(mIndex, connection)));
                }
            }
        }
    }
}
