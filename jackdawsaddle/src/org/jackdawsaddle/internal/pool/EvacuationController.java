package org.jackdawsaddle.internal.pool;

import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.pool.Evacuation;

/**
 * Puts the evacuation of data centres in force: no task of this entry is placed there from then on,
 * and all sidecars and other entries with an older state are told at once. A sidecar that knows of
 * the evacuation of its data centre refuses tasks of any entry.
 *
 * <p>Answers the loss of a part of the capacity at once while the load stays: evacuated targets do
 * not count as capacity from then on.
 */
final class EvacuationController {
    private final PoolEntryState mState;
    private final PeerController mPeers;

    EvacuationController(PoolEntryState state, PeerController peers) {
        mState = state;
        mPeers = peers;
    }

    /** Handles what was read from the store. */
    void onRead(Evacuation read) {
        if (mState.mEvacuation.onRead(read)) {
            apply("the store");
        }
    }

    /** Handles what another process has sent. */
    void onReceived(PoolMessage.EvacuationPush push, NodeId sender) {
        if (mState.mEvacuation.onReceived(push.evacuation())) {
            apply(sender.toString());
        }
    }

    /** Handles the revision that another entry has reported. */
    void onPeerRevision(NodeId peer, long revision) {
        if (mState.mEvacuation.outdated(revision)) {
            mPeers.send(peer, push());
        }
    }

    /** Handles the first message of a sidecar on a connection, or a change of its target. */
    void onAnnounced(PoolMessage.Hello hello) {
        SidecarView sidecar = mState.mSidecars.get(hello.sidecar());
        sidecar.mEvacuated = current().includes(hello.dataCentre());
        if (mState.mEvacuation.outdated(hello.evacuationRevision())) {
            mState.send(sidecar, push());
        }
    }

    private void apply(String source) {
        mState.count(PoolEntryCounter.EVACUATIONS_APPLIED);
        int evacuatedCount = 0;
        for (SidecarView sidecar : mState.mSidecars.values()) {
            sidecar.mEvacuated = current().includes(sidecar.mHello.dataCentre());
            evacuatedCount += sidecar.mEvacuated ? 1 : 0;
            mState.send(sidecar, push());
        }
        mPeers.sendToAll(push());
        EventLog.line(Event.EVACUATION_APPLIED)
                .with("revision", current().revision())
                .with("data_centres", current().dataCentres())
                .with("sidecars", evacuatedCount)
                .with("source", source)
                .write();
        logUnknownDataCentres();
    }

    /** Logs evacuated data centres without a connected sidecar; their names may be wrong. */
    private void logUnknownDataCentres() {
        List<String> known =
                mState.mSidecars.values().stream()
                        .map(sidecar -> sidecar.mHello.dataCentre())
                        .toList();
        current().dataCentres().stream()
                .filter(dataCentre -> !known.contains(dataCentre))
                .forEach(dataCentre ->
                        EventLog.line(Event.DATA_CENTRE_UNKNOWN)
                                .with("data_centre", dataCentre)
                                .write());
    }

    private Evacuation current() {
        return mState.mEvacuation.current();
    }

    private PoolMessage push() {
        return new PoolMessage.EvacuationPush(current());
    }
}
