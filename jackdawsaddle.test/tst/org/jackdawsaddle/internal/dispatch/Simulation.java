package org.jackdawsaddle.internal.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.regex.Pattern;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.ConfigurationHead;
import org.jackdawsaddle.config.ConfigurationSet;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.config.JobKind;
import org.jackdawsaddle.config.ServiceObject;
import org.jackdawsaddle.config.TeamObject;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.message.EntryMessage;
import org.jackdawsaddle.internal.message.PeerMessage;
import org.jackdawsaddle.internal.message.SidecarMessage;
import org.jackdawsaddle.internal.sidecar.SidecarEvent;

/**
 * A discrete-event simulation of three entries and four sidecars, which run the real decision
 * logic, under a seeded schedule of faults. It tests decisions only; it models neither costs nor
 * machines.
 */
final class Simulation {
    private static final Pattern TRACE =
            System.getProperty("walk.trace") == null
                    ? null
                    : Pattern.compile(System.getProperty("walk.trace"));
    private static final long START_MILLIS = 1_800_000_000_000L;
    private static final long FAULT_PHASE_MILLIS = 30_000;
    private static final long RECOVERY_PHASE_MILLIS = 60_000;

    /** The delay between a tick and the connection attempts that it schedules. */
    private static final long CONNECT_DELAY_MILLIS = 200;

    final SimulatedScheduler mScheduler = new SimulatedScheduler(START_MILLIS);
    final Random mRandom;
    final SimulatedStore mStore = new SimulatedStore(this);
    final SimulatedCallers mCallers = new SimulatedCallers(this);
    final Set<SimulatedNode> mIsolated = new LinkedHashSet<>();

    /**
     * The probability of a fault per submission; long delays and lost answers of the store have a
     * fraction of it.
     */
    double mFaultRate;

    private final List<SimulatedEntry> mEntries = new ArrayList<>();
    private final List<SimulatedSidecar> mSidecars = new ArrayList<>();

    /** By entry: the peers to which a connection is to be kept open. */
    private final Map<SimulatedEntry, Set<NodeId>> mWantedPeers = new LinkedHashMap<>();

    private long mLastIncarnation;
    private boolean mRecovering;

    Simulation(long seed, double faultRate) {
        mRandom = new Random(seed);
        mFaultRate = faultRate;
        mStore.mState.compareAndSet(
                StoreKeys.CONFIGURATION, 0, Json.write(head(1)), Long.MAX_VALUE);
        for (int index = 0; index < 3; index++) {
            startEntry("entry-" + index);
        }
        for (int index = 0; index < 4; index++) {
            startSidecar("target-" + index);
        }
        mStore.notifyWatches();
    }

    static ConfigurationHead head(long revision) {
        List<JobKind> kinds =
                List.of(kind("batch", false), kind("write", false), kind("read", true));
        ConfigurationSet set =
                new ConfigurationSet(
                        List.of(new ServiceObject("service", 1, 200)),
                        List.of(),
                        kinds,
                        List.of(),
                        List.of(new TeamObject("team", 0)));
        return new ConfigurationHead(revision, set, List.of());
    }

    private static JobKind kind(String name, boolean idempotent) {
        return new JobKind(name, "service", idempotent, 10, 200, 10_000, Demand.NONE);
    }

    /** Runs the fault phase and the recovery phase; throws if an invariant is violated. */
    void run() {
        scheduleTicks();
        scheduleWork();
        mScheduler.after(FAULT_PHASE_MILLIS, this::endFaults);
        long end = START_MILLIS + FAULT_PHASE_MILLIS + RECOVERY_PHASE_MILLIS;
        while (mScheduler.step(end)) {
            continue;
        }
        mCallers.checkAllAnswered();
    }

    /** Prints an action if the pattern in the property walk.trace matches a part of it. */
    void trace(NodeId node, Object action) {
        if (TRACE != null && TRACE.matcher(action.toString()).find()) {
            System.out.println(
                    "simulation: " + (mScheduler.now() - START_MILLIS) + " " + node + " " + action);
        }
    }

    /** Returns the random delay of a message, in milliseconds; a few are long. */
    long delay() {
        return chance(mFaultRate / 10) ? mRandom.nextInt(800) : 1 + mRandom.nextInt(4);
    }

    boolean chance(double probability) {
        return mRandom.nextDouble() < probability;
    }

    List<SimulatedEntry> entries() {
        return List.copyOf(mEntries);
    }

    Optional<SimulatedEntry> entry(NodeId id) {
        return mEntries.stream().filter(entry -> entry.mId.equals(id)).findFirst();
    }

    Optional<SimulatedSidecar> sidecar(NodeId id) {
        return mSidecars.stream().filter(sidecar -> sidecar.mId.equals(id)).findFirst();
    }

    void toSidecar(SimulatedEntry from, SimulatedSidecar to, EntryMessage message) {
        SimulatedLink link = from.mLinks.get(to);
        if (link != null) {
            link.deliver(from, () -> to.handle(new SidecarEvent.EntrySent(from.mId, message)));
        }
    }

    void toEntry(SimulatedSidecar from, SimulatedEntry to, SidecarMessage message) {
        SimulatedLink link = from.mLinks.get(to);
        if (link == null) {
            return;
        }
        EntryEvent event =
                message instanceof SidecarMessage.SidecarHello hello
                        ? new EntryEvent.SidecarAnnounced(hello)
                        : new EntryEvent.SidecarSent(from.mId, message);
        link.deliver(from, () -> to.handle(event));
    }

    void toPeer(SimulatedEntry from, SimulatedEntry to, PeerMessage message) {
        SimulatedLink link = from.mLinks.get(to);
        if (link != null) {
            link.deliver(from, () -> to.handle(new EntryEvent.PeerSent(from.mId, message)));
        }
    }

    void requestPeer(SimulatedEntry entry, NodeId peer) {
        mWantedPeers.computeIfAbsent(entry, key -> new LinkedHashSet<>()).add(peer);
        connectPeer(entry, peer);
    }

    void dropPeer(SimulatedEntry entry, NodeId peer) {
        Optional.ofNullable(mWantedPeers.get(entry)).ifPresent(peers -> peers.remove(peer));
    }

    /**
     * Notifies a node of a lost connection, unless it has another one; {@link #connectAll} opens a
     * new one later.
     */
    void notifyDisconnected(SimulatedNode node, SimulatedNode other, SimulatedLink link) {
        if (!node.mLinks.remove(other, link)) {
            return;
        }
        switch (node) {
            case SimulatedEntry entry when other instanceof SimulatedEntry peer ->
                    entry.handle(new EntryEvent.PeerLost(peer.mId));
            case SimulatedEntry entry ->
                    entry.handle(new EntryEvent.SidecarLost(((SimulatedSidecar) other).mId));
            default -> {
                SimulatedSidecar sidecar = (SimulatedSidecar) node;
                SimulatedEntry entry = (SimulatedEntry) other;
                sidecar.handle(new SidecarEvent.EntryLost(entry.mId));
            }
        }
    }

    private void scheduleTicks() {
        mScheduler.after(
                Timing.TICK_MILLIS,
                () -> {
                    mEntries.forEach(SimulatedNode::tick);
                    mSidecars.forEach(SimulatedNode::tick);
                    mStore.expire();
                    scheduleTicks();
                });
        mScheduler.after(CONNECT_DELAY_MILLIS, this::connectAll);
    }

    /** Submits a job, injects a fault at random and repeats this until the fault phase ends. */
    private void scheduleWork() {
        if (mRecovering) {
            return;
        }
        mCallers.submitNew();
        if (chance(mFaultRate)) {
            FaultInjector.inject(this);
        }
        mScheduler.after(1 + mRandom.nextInt(120), this::scheduleWork);
    }

    private void connectAll() {
        for (SimulatedSidecar sidecar : List.copyOf(mSidecars)) {
            mEntries.forEach(entry -> connectSidecar(sidecar, entry));
        }
        for (SimulatedEntry entry : List.copyOf(mEntries)) {
            Set<NodeId> wanted = mWantedPeers.getOrDefault(entry, Set.of());
            List.copyOf(wanted).forEach(peer -> connectPeer(entry, peer));
        }
    }

    private void connectSidecar(SimulatedSidecar sidecar, SimulatedEntry entry) {
        if (!up(sidecar) || !up(entry) || connectedOrIsolated(sidecar, entry)) {
            return;
        }
        SimulatedLink link = link(sidecar, entry);
        sidecar.mLinks.put(entry, link);
        entry.mLinks.put(sidecar, link);
        sidecar.run(() -> sidecar.handle(new SidecarEvent.EntryConnected(entry.mId)));
    }

    private void connectPeer(SimulatedEntry entry, NodeId peer) {
        Optional<SimulatedEntry> other = entry(peer);
        if (other.isEmpty()
                || !up(entry)
                || !up(other.get())
                || connectedOrIsolated(entry, other.get())) {
            return;
        }
        entry.mLinks.put(other.get(), link(entry, other.get()));
        other.get().mLinks.put(entry, entry.mLinks.get(other.get()));
        entry.run(() -> entry.handle(new EntryEvent.PeerConnected(peer)));
        other.get().run(() -> other.get().handle(new EntryEvent.PeerConnected(entry.mId)));
    }

    private static boolean up(SimulatedNode node) {
        return node.mAlive && !node.mFrozen;
    }

    /** Returns whether the nodes are connected already or isolated from each other. */
    private boolean connectedOrIsolated(SimulatedNode one, SimulatedNode other) {
        return mIsolated.contains(one) != mIsolated.contains(other)
                || one.mLinks.containsKey(other)
                || other.mLinks.containsKey(one);
    }

    private SimulatedLink link(SimulatedNode initiator, SimulatedNode acceptor) {
        return new SimulatedLink(this, initiator, acceptor);
    }

    List<SimulatedSidecar> sidecars() {
        return List.copyOf(mSidecars);
    }

    void startEntry(String name) {
        mLastIncarnation++;
        SimulatedEntry entry =
                new SimulatedEntry(this, name, mLastIncarnation, QueueOrder.FIRST_COME);
        entry.mClockOffsetMillis = mRandom.nextInt(3_000) - 1_500;
        replace(mEntries, entry);
        mStore.notifyWatches();
    }

    void startSidecar(String name) {
        mLastIncarnation++;
        SimulatedSidecar sidecar = new SimulatedSidecar(this, name, mLastIncarnation);
        sidecar.mClockOffsetMillis = mRandom.nextInt(3_000) - 1_500;
        replace(mSidecars, sidecar);
        sidecar.announce();
    }

    /** Adds a process, and kills and removes the one of the same name. */
    private static <T extends SimulatedNode> void replace(List<T> nodes, T node) {
        nodes.stream().filter(other -> other.mName.equals(node.mName)).forEach(SimulatedNode::kill);
        nodes.removeIf(other -> other.mName.equals(node.mName));
        nodes.add(node);
    }

    private void endFaults() {
        mRecovering = true;
        mFaultRate = 0;
        mStore.mDown = false;
        mIsolated.clear();
        mEntries.forEach(SimulatedNode::resume);
        mSidecars.forEach(SimulatedNode::resume);
        mStore.notifyWatches();
    }
}
