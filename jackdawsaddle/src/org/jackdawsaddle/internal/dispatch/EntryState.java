package org.jackdawsaddle.internal.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.ConfigurationHead;
import org.jackdawsaddle.config.ServiceObject;

/** The state that the controllers of an entry share. It is accessed by the control thread only. */
final class EntryState {
    final EntryRecord mSelf;
    final RandomGenerator mRandom;
    final Outbox mOutbox = new Outbox();

    /** The known sidecars, connected or not. */
    final Map<NodeId, SidecarView> mSidecars = new LinkedHashMap<>();

    private final Map<Integer, Map<NodeId, SidecarView>> mSidecarsByPartition = new HashMap<>();

    /** By name of the sidecar: the incarnation that is connected. */
    private final Map<String, NodeId> mConnectedSidecars = new HashMap<>();

    final Map<NodeId, PeerView> mPeers = new LinkedHashMap<>();

    /** The partitions that this entry owns, by index. */
    final Map<Integer, OwnedPartition> mOwnedPartitions = new LinkedHashMap<>();

    /** The known partition records, by index of the partition. */
    final Map<Integer, Versioned<PartitionRecord>> mPartitionRecords = new HashMap<>();

    /** The unexpired records of the other entries, by name. */
    final Map<String, Versioned<EntryRecord>> mEntryRecords = new HashMap<>();

    private final long[] mCounts = new long[EntryCounter.values().length];

    /** The configuration in force. */
    ConfigurationHead mHead = ConfigurationHead.NONE;

    /** Empty until the layout is known. */
    Optional<PartitionMap> mPartitionMap = Optional.empty();

    /** The number of partitions, 0 until the layout is known. */
    int mPartitionCount;

    /** Whether the process has been asked to shut down. */
    boolean mLeaving;

    /** The time of the current event, in milliseconds since the epoch. */
    long mNow;

    EntryState(EntryRecord self, RandomGenerator random) {
        mSelf = self;
        mRandom = random;
    }

    NodeId self() {
        return mSelf.node();
    }

    void count(EntryCounter counter) {
        mCounts[counter.ordinal()]++;
    }

    void count(EntryCounter counter, int amount) {
        mCounts[counter.ordinal()] += amount;
    }

    long counterValue(EntryCounter counter) {
        return mCounts[counter.ordinal()];
    }

    Optional<SidecarView> sidecar(NodeId node) {
        return Optional.ofNullable(mSidecars.get(node));
    }

    /** Returns all sidecars of the partition, connected or not. */
    Collection<SidecarView> sidecarsOf(OwnedPartition partition) {
        return mSidecarsByPartition.getOrDefault(partition.mIndex, Map.of()).values();
    }

    /**
     * Assigns a sidecar to a partition, and removes it from its former one.
     *
     * @param partition the index of the partition, or -1 while it is unknown
     */
    void assign(SidecarView view, int partition) {
        if (view.mPartition != partition) {
            mSidecarsByPartition.getOrDefault(view.mPartition, new HashMap<>()).remove(view.node());
        }
        view.mPartition = partition;
        mSidecarsByPartition
                .computeIfAbsent(partition, index -> new LinkedHashMap<>())
                .put(view.node(), view);
    }

    /** Removes a sidecar from the known ones. */
    void drop(SidecarView view) {
        mSidecars.remove(view.node());
        mSidecarsByPartition.getOrDefault(view.mPartition, new HashMap<>()).remove(view.node());
    }

    /** Records which incarnation of a sidecar is connected. */
    void markConnected(NodeId sidecar) {
        mConnectedSidecars.put(sidecar.name(), sidecar);
    }

    /** Records that an incarnation is no longer connected, unless another one has replaced it. */
    void markDisconnected(NodeId sidecar) {
        mConnectedSidecars.remove(sidecar.name(), sidecar);
    }

    /**
     * Returns the connected incarnation of the same name if it is another one, which proves that
     * the given incarnation has ended.
     */
    Optional<SidecarView> replacementOf(NodeId sidecar) {
        return Optional.ofNullable(mConnectedSidecars.get(sidecar.name()))
                .filter(node -> node.isOtherIncarnationOf(sidecar))
                .map(mSidecars::get);
    }

    /** Returns a copy, so that ownerships may end during an iteration. */
    Collection<OwnedPartition> ownedPartitions() {
        return List.copyOf(mOwnedPartitions.values());
    }

    /** Returns the partition of a target, or -1 while the layout or the service is unknown. */
    int partitionOfTarget(String service, String target) {
        Optional<ServiceObject> object = mHead.set().service(service);
        if (mPartitionMap.isEmpty() || object.isEmpty()) {
            return -1;
        }
        return mPartitionMap.get().partitionOf(object.get(), target);
    }
}
