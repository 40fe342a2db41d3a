package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.ConfigurationHead;
import org.jackdawsaddle.config.TargetObject;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.message.EntryMessage.TargetConfiguration;
import org.jackdawsaddle.internal.message.PeerMessage.ConfigurationPush;

/** Puts the newest configuration in force here and hands it on; it never goes back. */
final class ConfigurationController {
    private final EntryBoard mBoard;

    ConfigurationController(EntryBoard board) {
        mBoard = board;
    }

    /** Applies a published configuration if it is newer; returns whether it was. */
    boolean apply(String json) {
        ConfigurationHead head = Json.read(json, ConfigurationHead.class);
        if (head.revision() <= mBoard.mHead.revision()) {
            return false;
        }
        mBoard.mHead = head;
        mBoard.count(EntryCounter.REVISIONS_APPLIED);
        for (SidecarView sidecar : mBoard.mSidecars.values()) {
            adjust(sidecar);
            if (ownerOrNone(sidecar)) {
                push(sidecar);
            }
        }
        return true;
    }

    /** Brings a sidecar that has announced itself up to date. */
    void onAnnounced(SidecarView sidecar) {
        adjust(sidecar);
        if (sidecar.mRevision < mBoard.mHead.revision() && ownerOrNone(sidecar)) {
            push(sidecar);
        }
    }

    /** Brings the sidecars of a partition taken over up to date. */
    void onActivated(OwnedPartition partition) {
        List.copyOf(mBoard.sidecarsOf(partition)).forEach(this::onAnnounced);
    }

    /** Hands the configuration to a peer that has an older one. */
    void onPeerRevision(NodeId peer, long revision) {
        Optional.ofNullable(mBoard.mPeers.get(peer)).ifPresent(view -> view.mRevision = revision);
        if (revision < mBoard.mHead.revision()) {
            String json = Json.write(mBoard.mHead);
            mBoard.mOutbox.sendToPeer(peer, new ConfigurationPush(mBoard.mHead.revision(), json));
        }
    }

    private void adjust(SidecarView sidecar) {
        Optional<TargetObject> target = mBoard.mHead.set().target(sidecar.mHello.target());
        sidecar.mDrained = target.map(TargetObject::drained).orElse(false);
        sidecar.mSlotLimit = target.map(TargetObject::slots).orElse(0);
        mBoard.assign(
                sidecar,
                mBoard.partitionOfTarget(sidecar.mHello.service(), sidecar.mHello.target()));
    }

    private void push(SidecarView sidecar) {
        if (sidecar.mConnected) {
            mBoard.mOutbox.send(
                    sidecar.node(),
                    new TargetConfiguration(
                            mBoard.mHead.revision(), sidecar.mDrained, sidecar.mSlotLimit));
        }
    }

    /** Only the owner of its partition pushes to a sidecar, while there is an owner. */
    private boolean ownerOrNone(SidecarView sidecar) {
        return mBoard.mOwned.containsKey(sidecar.mPartition)
                || Optional.ofNullable(mBoard.mPartitions.get(sidecar.mPartition))
                        .flatMap(record -> record.value().holder())
                        .isEmpty();
    }
}
