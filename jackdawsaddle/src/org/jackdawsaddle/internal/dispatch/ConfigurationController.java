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
    private final EntryState mState;

    ConfigurationController(EntryState state) {
        mState = state;
    }

    /** Applies a published configuration if it is newer; returns whether it was. */
    boolean apply(String json) {
        ConfigurationHead head = Json.read(json, ConfigurationHead.class);
        if (head.revision() <= mState.mHead.revision()) {
            return false;
        }
        mState.mHead = head;
        mState.count(EntryCounter.REVISIONS_APPLIED);
        for (SidecarView sidecar : mState.mSidecars.values()) {
            applyTo(sidecar);
            if (mayPush(sidecar)) {
                push(sidecar);
            }
        }
        return true;
    }

    /** Brings a sidecar that has announced itself up to date. */
    void onAnnounced(SidecarView sidecar) {
        applyTo(sidecar);
        if (sidecar.mRevision < mState.mHead.revision() && mayPush(sidecar)) {
            push(sidecar);
        }
    }

    /** Brings the sidecars of a partition taken over up to date. */
    void onActivated(OwnedPartition partition) {
        List.copyOf(mState.sidecarsOf(partition)).forEach(this::onAnnounced);
    }

    /** Hands the configuration to a peer that has an older one. */
    void onPeerRevision(NodeId peer, long revision) {
        Optional.ofNullable(mState.mPeers.get(peer)).ifPresent(view -> view.mRevision = revision);
        if (revision < mState.mHead.revision()) {
            String json = Json.write(mState.mHead);
            mState.mOutbox.sendToPeer(peer, new ConfigurationPush(mState.mHead.revision(), json));
        }
    }

    private void applyTo(SidecarView sidecar) {
        Optional<TargetObject> target = mState.mHead.set().target(sidecar.mHello.target());
        sidecar.mDrained = target.map(TargetObject::drained).orElse(false);
        sidecar.mSlotLimit = target.map(TargetObject::slots).orElse(0);
        mState.assign(
                sidecar,
                mState.partitionOfTarget(sidecar.mHello.service(), sidecar.mHello.target()));
    }

    private void push(SidecarView sidecar) {
        if (sidecar.mConnected) {
            mState.mOutbox.send(
                    sidecar.node(),
                    new TargetConfiguration(
                            mState.mHead.revision(), sidecar.mDrained, sidecar.mSlotLimit));
        }
    }

    /** Only the owner of its partition pushes to a sidecar, while there is an owner. */
    private boolean mayPush(SidecarView sidecar) {
        return mState.mOwnedPartitions.containsKey(sidecar.mPartition)
                || Optional.ofNullable(mState.mPartitionRecords.get(sidecar.mPartition))
                        .flatMap(record -> record.value().currentOwner())
                        .isEmpty();
    }
}
