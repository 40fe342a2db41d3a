package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import java.util.Random;
import org.jackdawsaddle.NodeId;

/** An entry of a walk. */
final class EntryNode extends WalkNode {
    final EntryCore mCore;
    final NodeId mId;

    EntryNode(Walk walk, String name, long incarnation, QueueOrder order) {
        super(walk, name);
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
        mWalk.trace(mId, action);
        switch (action) {
            case EntryAction.AnswerCaller answer ->
                    mWalk.mCallers.answered(this, answer.token(), answer.answer());
            case EntryAction.SendToSidecar send ->
                    mWalk.sidecar(send.sidecar())
                            .ifPresent(sidecar -> mWalk.toSidecar(this, sidecar, send.message()));
            case EntryAction.SendToPeer send ->
                    mWalk.entry(send.peer())
                            .ifPresent(peer -> mWalk.toPeer(this, peer, send.message()));
            case EntryAction.ConnectPeer connect -> mWalk.wantPeer(this, connect.peer());
            case EntryAction.DisconnectPeer disconnect -> mWalk.unwantPeer(this, disconnect.peer());
            case EntryAction.WriteStore write -> mWalk.mStore.write(this, write);
            case EntryAction.ReadStore read -> mWalk.mStore.read(this, read.key());
        }
    }
}
