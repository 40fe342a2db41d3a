package org.jackdawsaddle.internal.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.pool.PoolAnswer;
import org.jackdawsaddle.pool.PoolJob;
import org.jackdawsaddle.standin.platform.WorkerModel;

/** An entry with a real {@link PoolEntryCore} in a {@link PoolSimulation}. */
final class SimulatedEntry extends SimulatedNode {
    final int mIndex;
    PoolEntryCore mCore;

    /** The number of the current connection of each sidecar, by the index of the sidecar. */
    final Map<Integer, Long> mConnectionNumbers = new HashMap<>();

    /** The node id of each sidecar at its latest connection, by the index of the sidecar. */
    final Map<Integer, NodeId> mSidecarNodes = new HashMap<>();

    final Map<Long, SimulatedCaller> mCallersByToken = new HashMap<>();

    /** The receivers of the answers to jobs submitted with {@link #submit}, by token. */
    private final Map<Long, Consumer<PoolAnswer>> mReceiversByToken = new HashMap<>();

    SimulatedEntry(PoolSimulation simulation, int index) {
        super(simulation, "entry-" + index);
        mIndex = index;
    }

    @Override
    void startCore() {
        mCore =
                new PoolEntryCore(
                        mName,
                        WorkerModel.LEASE_MILLIS,
                        PoolSimulation.RESEND_MILLIS,
                        mSimulation.mShape.processorCoresOf(mIndex));
        mConnectionNumbers.clear();
        mSidecarNodes.clear();
        List<SimulatedCaller> disconnected = List.copyOf(mCallersByToken.values());
        mCallersByToken.clear();
        disconnected.forEach(SimulatedCaller::onConnectionLost);
        mCore.handle(
                new PoolEntryEvent.ConfigurationRead(mSimulation.mShape.configuration()),
                mSimulation.mNow);
    }

    /** Submits a job; the receiver gets its answer, unless the entry is killed before. */
    void submit(PoolJob job, Consumer<PoolAnswer> receiver) {
        long token = ++mSimulation.mLastNumber;
        mReceiversByToken.put(token, receiver);
        runIfAlive(mIncarnation, () -> handle(new PoolEntryEvent.JobSubmitted(token, job)));
    }

    @Override
    void onTick() {
        mCore.handle(new PoolEntryEvent.Tick(), mSimulation.mNow);
    }

    /**
     * Handles a message from a sidecar. A {@code Hello} makes its connection the current one; any
     * other message is dropped if its connection was replaced or closed.
     */
    void onReceived(int sidecarIndex, long connectionNumber, PoolMessage message) {
        if (message instanceof PoolMessage.Hello hello) {
            Long previousConnectionNumber = mConnectionNumbers.put(sidecarIndex, connectionNumber);
            NodeId previousNode = mSidecarNodes.put(sidecarIndex, hello.sidecar());
            if (previousConnectionNumber != null
                    && previousConnectionNumber != connectionNumber
                    && previousNode.equals(hello.sidecar())) {
                mCore.handle(new PoolEntryEvent.SidecarLost(previousNode), mSimulation.mNow);
            }
            mCore.handle(new PoolEntryEvent.SidecarAnnounced(hello), mSimulation.mNow);
        } else if (mConnectionNumbers.getOrDefault(sidecarIndex, 0L) == connectionNumber) {
            mCore.handle(
                    new PoolEntryEvent.SidecarSent(mSidecarNodes.get(sidecarIndex), message),
                    mSimulation.mNow);
        }
    }

    /** Handles the end of a connection that the sidecar has closed. */
    void onClosed(int sidecarIndex, long connectionNumber) {
        if (mConnectionNumbers.remove(sidecarIndex, connectionNumber)) {
            mCore.handle(
                    new PoolEntryEvent.SidecarLost(mSidecarNodes.get(sidecarIndex)),
                    mSimulation.mNow);
        }
    }

    @Override
    long nextTickAt() {
        return mCore.nextTickAt();
    }

    @Override
    void perform() {
        for (PoolEntryAction action : mCore.actions()) {
            switch (action) {
                case PoolEntryAction.AnswerCaller answer -> answerCaller(answer);
                case PoolEntryAction.SendToSidecar send -> send(send);
                case PoolEntryAction.DisconnectSidecar disconnect ->
                        disconnect(disconnect.sidecar());
                case PoolEntryAction.SendToPeer send -> sendToPeer(send);
                case PoolEntryAction.AnswerPeer answer -> answerPeer(answer);
                case PoolEntryAction.DisconnectPeer disconnect -> {}
            }
        }
    }

    private void answerCaller(PoolEntryAction.AnswerCaller answer) {
        Optional.ofNullable(mCallersByToken.remove(answer.token()))
                .ifPresent(caller -> caller.onAnswered(answer.answer()));
        Optional.ofNullable(mReceiversByToken.remove(answer.token()))
                .ifPresent(receiver -> receiver.accept(answer.answer()));
    }

    /** Sends a message to another entry, which answers each ping with one if it is alive. */
    private void sendToPeer(PoolEntryAction.SendToPeer send) {
        mSimulation.mPeerMessageCount++;
        findAlive(send.peer())
                .ifPresent(peer ->
                        peer.deliver(() -> {
                            peer.handle(new PoolEntryEvent.PeerSent(node(), send.message()));
                            if (send.message() instanceof PoolMessage.Ping) {
                                peer.answerPing(node());
                            }
                        }));
    }

    private void answerPing(NodeId peer) {
        answerPeer(new PoolEntryAction.AnswerPeer(peer, mCore.peerHeartbeat()));
    }

    /** Sends a message on the connection that another entry has opened. */
    private void answerPeer(PoolEntryAction.AnswerPeer answer) {
        findAlive(answer.peer())
                .ifPresent(peer ->
                        peer.deliver(() ->
                                peer.handle(
                                        new PoolEntryEvent.PeerAnswered(
                                                node(), answer.message()))));
    }

    private Optional<SimulatedEntry> findAlive(NodeId node) {
        return mSimulation.mEntries.stream()
                .filter(entry -> entry.mAlive && entry.node().equals(node))
                .findFirst();
    }

    /** Executes work 1 ms from now, if this incarnation is still alive then. */
    private void deliver(Runnable work) {
        int incarnation = mIncarnation;
        mSimulation.after(1, () -> runIfAlive(incarnation, work));
    }

    NodeId node() {
        return new NodeId(mName, mIncarnation);
    }

    private void handle(PoolEntryEvent event) {
        mCore.handle(event, mSimulation.mNow);
    }

    @Override
    void start() {
        super.start();
        for (SimulatedEntry peer : mSimulation.mEntries) {
            if (peer != this && peer.mAlive) {
                handle(new PoolEntryEvent.PeerConnected(peer.node()));
                peer.handle(new PoolEntryEvent.PeerConnected(node()));
            }
        }
    }

    @Override
    void kill() {
        if (mAlive) {
            for (SimulatedEntry peer : mSimulation.mEntries) {
                if (peer != this && peer.mAlive) {
                    peer.handle(new PoolEntryEvent.PeerLost(node()));
                    peer.handle(new PoolEntryEvent.PeerClosed(node()));
                }
            }
        }
        super.kill();
    }

    private void send(PoolEntryAction.SendToSidecar send) {
        mSimulation.countMessage(send.message());
        for (SimulatedSidecar sidecar : mSimulation.mSidecars) {
            Long connectionNumber = mConnectionNumbers.get(sidecar.mIndex);
            if (connectionNumber != null
                    && send.sidecar().equals(mSidecarNodes.get(sidecar.mIndex))) {
                mSimulation.mLinksToSidecar[mIndex][sidecar.mIndex].deliver(() ->
                        sidecar.runIfAlive(
                                sidecar.mIncarnation,
                                () ->
                                        sidecar.onReceived(
                                                mIndex, connectionNumber, send.message())));
            }
        }
    }

    private void disconnect(NodeId node) {
        for (SimulatedSidecar sidecar : mSimulation.mSidecars) {
            if (node.equals(mSidecarNodes.get(sidecar.mIndex))) {
                Long connectionNumber = mConnectionNumbers.remove(sidecar.mIndex);
                if (connectionNumber != null) {
                    mSimulation.mLinksToSidecar[mIndex][sidecar.mIndex].deliver(() ->
                            sidecar.runIfAlive(
                                    sidecar.mIncarnation,
                                    () -> sidecar.onClosed(mIndex, connectionNumber)));
                }
            }
        }
    }
}
