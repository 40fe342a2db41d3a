package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import java.util.Random;
import org.jackdawsaddle.NodeId;

/** An entry of a simulation. */
final class SimulatedEntry extends SimulatedNode {
    final EntryCore mCore;
    final NodeId mId;

    SimulatedEntry(Simulation simulation, String name, long incarnation, QueueOrder order) {
        super(simulation, name);
        mId = new NodeId(name, incarnation);
        EntryRecord record = new EntryRecord(mId, name, name, "here");
        mCore = new EntryCore(record, new Layout(1), order, new Random(incarnation));
    }

    void handle(EntryEvent event) {
        mCore.handle(event, clock());
    }

    @Override
    void tick() {
        run(() -> handle(new EntryEvent.Tick()));
    }

    @Override
    void perform() {
        List<EntryAction> actions = mCore.actions();
        actions.forEach(this::perform);
    }

    private void perform(EntryAction action) {
        mSimulation.trace(mId, action);
        switch (action) {
            case EntryAction.AnswerCaller answer ->
                    mSimulation.mCallers.onAnswer(this, answer.token(), answer.answer());
            case EntryAction.SendToSidecar send ->
                    mSimulation
                            .sidecar(send.sidecar())
                            .ifPresent(sidecar ->
                                    mSimulation.toSidecar(this, sidecar, send.message()));
            case EntryAction.SendToPeer send ->
                    mSimulation
                            .entry(send.peer())
                            .ifPresent(peer -> mSimulation.toPeer(this, peer, send.message()));
            case EntryAction.ConnectPeer connect -> mSimulation.requestPeer(this, connect.peer());
            case EntryAction.DisconnectPeer disconnect ->
                    mSimulation.dropPeer(this, disconnect.peer());
            case EntryAction.WriteStore write -> mSimulation.mStore.write(this, write);
            case EntryAction.ReadStore read -> mSimulation.mStore.read(this, read.key());
        }
    }
}
