package org.jackdawsaddle.internal.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.standin.platform.WorkerModel;

/** An entry with a real {@link PoolEntryCore} in a {@link PoolSimulation}. */
final class SimulatedEntry extends SimulatedProcess {
    final int mIndex;
    PoolEntryCore mCore;

    /** The number of the current connection of each sidecar, by the index of the sidecar. */
    final Map<Integer, Long> mConnections = new HashMap<>();

    final Map<Integer, NodeId> mNodes = new HashMap<>();
    final Map<Long, SimulatedCaller> mCallers = new HashMap<>();

    SimulatedEntry(PoolSimulation simulation, int index) {
        super(simulation, "entry-" + index);
        mIndex = index;
    }

    @Override
    void create() {
        mCore = new PoolEntryCore(WorkerModel.LEASE_MILLIS, PoolSimulation.RESEND_MILLIS);
        mConnections.clear();
        mNodes.clear();
        List<SimulatedCaller> disconnected = List.copyOf(mCallers.values());
        mCallers.clear();
        disconnected.forEach(SimulatedCaller::connectionBroken);
        mCore.handle(
                new PoolEntryEvent.ConfigurationRead(PoolSimulation.CONFIGURATION),
                mSimulation.mNow);
    }

    @Override
    void onTick() {
        mCore.handle(new PoolEntryEvent.Tick(), mSimulation.mNow);
    }

    void receive(int sidecar, long connection, PoolMessage message) {
        if (message instanceof PoolMessage.Hello hello) {
            Long before = mConnections.put(sidecar, connection);
            NodeId known = mNodes.put(sidecar, hello.sidecar());
            if (before != null && before != connection && known.equals(hello.sidecar())) {
                mCore.handle(new PoolEntryEvent.SidecarLost(known), mSimulation.mNow);
            }
            mCore.handle(new PoolEntryEvent.SidecarAnnounced(hello), mSimulation.mNow);
        } else if (mConnections.getOrDefault(sidecar, 0L) == connection) {
            mCore.handle(
                    new PoolEntryEvent.SidecarSent(mNodes.get(sidecar), message), mSimulation.mNow);
        }
    }

    void closed(int sidecar, long connection) {
        if (mConnections.remove(sidecar, connection)) {
            mCore.handle(new PoolEntryEvent.SidecarLost(mNodes.get(sidecar)), mSimulation.mNow);
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
                case PoolEntryAction.DisconnectSidecar disconnect ->
                        disconnect(disconnect.sidecar());
                case PoolEntryAction.SendToPeer send -> {}
                case PoolEntryAction.DisconnectPeer disconnect -> {}
            }
        }
    }

    private void send(PoolEntryAction.SendToSidecar send) {
        for (SimulatedSidecar sidecar : mSimulation.mSidecars) {
            Long connection = mConnections.get(sidecar.mIndex);
            if (connection != null && send.sidecar().equals(mNodes.get(sidecar.mIndex))) {
                mSimulation.mToSidecar[mIndex][sidecar.mIndex].deliver(() ->
                        sidecar.run(
                                sidecar.mIncarnation,
                                () -> sidecar.receive(mIndex, connection, send.message())));
            }
        }
    }

    private void disconnect(NodeId node) {
        for (SimulatedSidecar sidecar : mSimulation.mSidecars) {
            if (node.equals(mNodes.get(sidecar.mIndex))) {
                Long connection = mConnections.remove(sidecar.mIndex);
                if (connection != null) {
                    mSimulation.mToSidecar[mIndex][sidecar.mIndex].deliver(() ->
                            sidecar.run(
                                    sidecar.mIncarnation,
                                    () -> sidecar.closed(mIndex, connection)));
                }
            }
        }
    }
}
