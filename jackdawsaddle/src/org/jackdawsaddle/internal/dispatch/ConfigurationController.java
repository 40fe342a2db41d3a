package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.ConfigurationHead;
import org.jackdawsaddle.config.TargetObject;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.message.EntryMessage.TargetConfiguration;
import org.jackdawsaddle.internal.message.PeerMessage.ConfigurationPush;

/**
 * Puts the newest configuration in force and distributes it to sidecars and peers; older revisions
 * are ignored.
 */
final class ConfigurationController {
    private final EntryState mState;

    ConfigurationController(EntryState state) {
        mState = state;
    }

    /**
     * Puts a published configuration in force if it is newer than the present one, and sends it to
     * the connected sidecars of the partitions that this entry owns or that have no known owner.
     * Peers get it once they report an older revision.
     *
     * @param json the published value, read from the store or pushed by a peer
     * @return whether it was newer
     * @throws IllegalArgumentException if it is not valid JSON
     */
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

    /**
     * Applies the configuration to a sidecar that has announced itself, and sends it if the sidecar
     * has an older one and this entry may send it.
     */
    void onAnnounced(SidecarView sidecar) {
        applyTo(sidecar);
        if (sidecar.mRevision < mState.mHead.revision() && mayPush(sidecar)) {
            push(sidecar);
        }
    }

    /**
     * Applies the configuration to all sidecars of a partition that became active, and sends it to
     * those that have an older one.
     */
    void onActivated(OwnedPartition partition) {
        List.copyOf(mState.sidecarsOf(partition)).forEach(this::onAnnounced);
    }

    /** Records the revision of a peer and sends the configuration if the peer has an older one. */
    void onPeerRevision(NodeId peer, long revision) {
        Optional.ofNullable(mState.mPeers.get(peer)).ifPresent(view -> view.mRevision = revision);
        if (revision < mState.mHead.revision()) {
            String json = Json.write(mState.mHead);
            mState.mOutbox.sendToPeer(peer, new ConfigurationPush(mState.mHead.revision(), json));
        }
    }

    /** Sets the drain flag and the slot limit of a sidecar, and assigns it to its partition. */
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
            mState.mOutbox.sendToSidecar(
                    sidecar.node(),
                    new TargetConfiguration(
                            mState.mHead.revision(), sidecar.mDrained, sidecar.mSlotLimit));
        }
    }

    /**
     * Returns whether this entry may send the configuration to a sidecar: it owns the sidecar's
     * partition, or no entry is known to own it.
     */
    private boolean mayPush(SidecarView sidecar) {
        return mState.mOwnedPartitions.containsKey(sidecar.mPartition)
                || Optional.ofNullable(mState.mPartitionRecords.get(sidecar.mPartition))
                        .flatMap(record -> record.value().currentOwner())
                        .isEmpty();
    }
}
