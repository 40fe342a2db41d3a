package org.jackdawsaddle.internal.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.standin.platform.WorkerModel;

/** An entry with a real {@link PoolEntryCore} in a {@link PoolSimulation}. */
final class SimulatedEntry extends SimulatedNode {
    final int mIndex;
    PoolEntryCore mCore;

    /** The number of the current connection of each sidecar, by the index of the sidecar. */
    final Map<Integer, Long> mConnectionNumbers = new HashMap<>();

    /** The incarnation of each sidecar at its latest connection, by the index of the sidecar. */
    final Map<Integer, NodeId> mSidecarNodes = new HashMap<>();

    final Map<Long, SimulatedCaller> mCallersByToken = new HashMap<>();

    SimulatedEntry(PoolSimulation simulation, int index) {
        super(simulation, "entry-" + index);
        mIndex = index;
    }

    @Override
    void startCore() {
        mCore = new PoolEntryCore(WorkerModel.LEASE_MILLIS, PoolSimulation.RESEND_MILLIS);
        mConnectionNumbers.clear();
        mSidecarNodes.clear();
        List<SimulatedCaller> disconnected = List.copyOf(mCallersByToken.values());
        mCallersByToken.clear();
        disconnected.forEach(SimulatedCaller::onConnectionLost);
        mCore.handle(
                new PoolEntryEvent.ConfigurationRead(PoolSimulation.CONFIGURATION),
                mSimulation.mNow);
    }

    @Override
    void onTick() {
        mCore.handle(new PoolEntryEvent.Tick(), mSimulation.mNow);
    }

    /**
     * Handles a message from a sidecar. A {@code Hello} makes its connection the current one; any
     * other message is dropped if its connection was replaced or closed.
     */
    void onReceived(int sidecar, long connection, PoolMessage message) {
        if (message instanceof PoolMessage.Hello hello) {
            Long before = mConnectionNumbers.put(sidecar, connection);
            NodeId known = mSidecarNodes.put(sidecar, hello.sidecar());
            if (before != null && before != connection && known.equals(hello.sidecar())) {
                mCore.handle(new PoolEntryEvent.SidecarLost(known), mSimulation.mNow);
            }
            mCore.handle(new PoolEntryEvent.SidecarAnnounced(hello), mSimulation.mNow);
        } else if (mConnectionNumbers.getOrDefault(sidecar, 0L) == connection) {
            mCore.handle(
                    new PoolEntryEvent.SidecarSent(mSidecarNodes.get(sidecar), message),
                    mSimulation.mNow);
        }
    }

    /** Handles the end of a connection that the sidecar has closed. */
    void onClosed(int sidecar, long connection) {
        if (mConnectionNumbers.remove(sidecar, connection)) {
            mCore.handle(
                    new PoolEntryEvent.SidecarLost(mSidecarNodes.get(sidecar)), mSimulation.mNow);
        }
    }

    @Override
    void perform() {
        for (PoolEntryAction action : mCore.actions()) {
            switch (action) {
                case PoolEntryAction.AnswerCaller answer ->
                        Optional.ofNullable(mCallersByToken.remove(answer.token()))
                                .ifPresent(caller -> caller.onAnswered(answer.answer()));
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
            Long connection = mConnectionNumbers.get(sidecar.mIndex);
            if (connection != null && send.sidecar().equals(mSidecarNodes.get(sidecar.mIndex))) {
                mSimulation.mLinksToSidecar[mIndex][sidecar.mIndex].deliver(() ->
                        sidecar.run(
                                sidecar.mIncarnation,
                                () -> sidecar.onReceived(mIndex, connection, send.message())));
            }
        }
    }

    private void disconnect(NodeId node) {
        for (SimulatedSidecar sidecar : mSimulation.mSidecars) {
            if (node.equals(mSidecarNodes.get(sidecar.mIndex))) {
                Long connection = mConnectionNumbers.remove(sidecar.mIndex);
                if (connection != null) {
                    mSimulation.mLinksToSidecar[mIndex][sidecar.mIndex].deliver(() ->
                            sidecar.run(
                                    sidecar.mIncarnation,
                                    () -> sidecar.onClosed(mIndex, connection)));
                }
            }
        }
    }
}
