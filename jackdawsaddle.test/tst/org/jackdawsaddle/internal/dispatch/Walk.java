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
 * A random walk of the real decisions of entries and sidecars over a seeded schedule of faults. It
 * tests decisions alone: there is no model of costs or of machines.
 */
final class Walk {
    private static final Pattern TRACE =
            System.getProperty("walk.trace") == null
                    ? null
                    : Pattern.compile(System.getProperty("walk.trace"));
    private static final long START = 1_800_000_000_000L;
    private static final long FAULTY_MILLIS = 30_000;
    private static final long HEALING_MILLIS = 60_000;
    private static final long RECONNECT_MILLIS = 200;

    final Agenda mAgenda = new Agenda(START);
    final Random mRandom;
    final WalkStore mStore = new WalkStore(this);
    final WalkCallers mCallers = new WalkCallers(this);
    final Set<WalkNode> mIsland = new LinkedHashSet<>();
    double mFaultShare;
    private final List<EntryNode> mEntries = new ArrayList<>();
    private final List<SidecarNode> mSidecars = new ArrayList<>();
    private final Map<EntryNode, Set<NodeId>> mWanted = new LinkedHashMap<>();
    private long mIncarnation;
    private boolean mHealing;

    Walk(long seed, double faultShare) {
        mRandom = new Random(seed);
        mFaultShare = faultShare;
        mStore.mState.compareAndSet(
                StoreKeys.CONFIGURATION, 0, Json.write(head(1)), Long.MAX_VALUE);
        for (int index = 0; index < 3; index++) {
            startEntry("entry-" + index);
        }
        for (int index = 0; index < 4; index++) {
            startSidecar("target-" + index);
        }
        mStore.announce();
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

    /** Walks through the faulty and the healing time; throws if a promise is broken. */
    void run() {
        scheduleTicks();
        scheduleWork();
        mAgenda.after(FAULTY_MILLIS, this::heal);
        long end = START + FAULTY_MILLIS + HEALING_MILLIS;
        while (mAgenda.step(end)) {
            continue;
        }
        mCallers.checkAllAnswered();
    }

    /** Prints an action if it contains the text of the property walk.trace. */
    void trace(NodeId node, Object action) {
        if (TRACE != null && TRACE.matcher(action.toString()).find()) {
            System.out.println("walk: " + (mAgenda.now() - START) + " " + node + " " + action);
        }
    }

    long delay() {
        return chance(mFaultShare / 10) ? mRandom.nextInt(800) : 1 + mRandom.nextInt(4);
    }

    boolean chance(double share) {
        return mRandom.nextDouble() < share;
    }

    List<EntryNode> entries() {
        return List.copyOf(mEntries);
    }

    Optional<EntryNode> entry(NodeId id) {
        return mEntries.stream().filter(entry -> entry.mId.equals(id)).findFirst();
    }

    Optional<SidecarNode> sidecar(NodeId id) {
        return mSidecars.stream().filter(sidecar -> sidecar.mId.equals(id)).findFirst();
    }

    void toSidecar(EntryNode from, SidecarNode to, EntryMessage message) {
        WalkLink link = from.mLinks.get(to);
        if (link != null) {
            link.deliver(from, () -> to.handle(new SidecarEvent.EntrySent(from.mId, message)));
        }
    }

    void toEntry(SidecarNode from, EntryNode to, SidecarMessage message) {
        WalkLink link = from.mLinks.get(to);
        if (link == null) {
            return;
        }
        EntryEvent event =
                message instanceof SidecarMessage.SidecarHello hello
                        ? new EntryEvent.SidecarAnnounced(hello)
                        : new EntryEvent.SidecarSent(from.mId, message);
        link.deliver(from, () -> to.handle(event));
    }

    void toPeer(EntryNode from, EntryNode to, PeerMessage message) {
        WalkLink link = from.mLinks.get(to);
        if (link != null) {
            link.deliver(from, () -> to.handle(new EntryEvent.PeerSent(from.mId, message)));
        }
    }

    void wantPeer(EntryNode entry, NodeId peer) {
        mWanted.computeIfAbsent(entry, key -> new LinkedHashSet<>()).add(peer);
        connectPeer(entry, peer);
    }

    void unwantPeer(EntryNode entry, NodeId peer) {
        Optional.ofNullable(mWanted.get(entry)).ifPresent(peers -> peers.remove(peer));
    }

    /** Tells a node of the end of a connection, and makes it connect again if it did before. */
    void disconnected(WalkNode node, WalkNode other, WalkLink link) {
        if (!node.mLinks.remove(other, link)) {
            return;
        }
        switch (node) {
            case EntryNode entry when other instanceof EntryNode peer ->
                    entry.handle(new EntryEvent.PeerLost(peer.mId));
            case EntryNode entry ->
                    entry.handle(new EntryEvent.SidecarLost(((SidecarNode) other).mId));
            default -> {
                SidecarNode sidecar = (SidecarNode) node;
                EntryNode entry = (EntryNode) other;
                sidecar.handle(new SidecarEvent.EntryLost(entry.mId));
            }
        }
    }

    private void scheduleTicks() {
        mAgenda.after(
                Timing.TICK_MILLIS,
                () -> {
                    mEntries.forEach(WalkNode::tick);
                    mSidecars.forEach(WalkNode::tick);
                    mStore.expire();
                    scheduleTicks();
                });
        mAgenda.after(RECONNECT_MILLIS, this::connectAll);
    }

    private void scheduleWork() {
        if (mHealing) {
            return;
        }
        mCallers.submitNew();
        if (chance(mFaultShare)) {
            WalkFaults.strike(this);
        }
        mAgenda.after(1 + mRandom.nextInt(120), this::scheduleWork);
    }

    private void connectAll() {
        for (SidecarNode sidecar : List.copyOf(mSidecars)) {
            mEntries.forEach(entry -> connectSidecar(sidecar, entry));
        }
        for (EntryNode entry : List.copyOf(mEntries)) {
            Set<NodeId> wanted = mWanted.getOrDefault(entry, Set.of());
            List.copyOf(wanted).forEach(peer -> connectPeer(entry, peer));
        }
    }

    private void connectSidecar(SidecarNode sidecar, EntryNode entry) {
        if (!up(sidecar) || !up(entry) || connected(sidecar, entry)) {
            return;
        }
        WalkLink link = link(sidecar, entry);
        sidecar.mLinks.put(entry, link);
        entry.mLinks.put(sidecar, link);
        sidecar.run(() -> sidecar.handle(new SidecarEvent.EntryConnected(entry.mId)));
    }

    private void connectPeer(EntryNode entry, NodeId peer) {
        Optional<EntryNode> other = entry(peer);
        if (other.isEmpty() || !up(entry) || !up(other.get()) || connected(entry, other.get())) {
            return;
        }
        entry.mLinks.put(other.get(), link(entry, other.get()));
        other.get().mLinks.put(entry, entry.mLinks.get(other.get()));
        entry.run(() -> entry.handle(new EntryEvent.PeerConnected(peer)));
        other.get().run(() -> other.get().handle(new EntryEvent.PeerConnected(entry.mId)));
    }

    private static boolean up(WalkNode node) {
        return node.mAlive && !node.mFrozen;
    }

    /** Returns whether no new connection is needed, or none is possible. */
    private boolean connected(WalkNode one, WalkNode other) {
        return mIsland.contains(one) != mIsland.contains(other)
                || one.mLinks.containsKey(other)
                || other.mLinks.containsKey(one);
    }

    private WalkLink link(WalkNode from, WalkNode to) {
        return new WalkLink(this, from, to);
    }

    List<SidecarNode> sidecars() {
        return List.copyOf(mSidecars);
    }

    void startEntry(String name) {
        mIncarnation++;
        EntryNode entry = new EntryNode(this, name, mIncarnation, QueueOrder.FIRST_COME);
        entry.mClockOffset = mRandom.nextInt(3_000) - 1_500;
        replace(mEntries, entry);
        mStore.announce();
    }

    void startSidecar(String name) {
        mIncarnation++;
        SidecarNode sidecar = new SidecarNode(this, name, mIncarnation);
        sidecar.mClockOffset = mRandom.nextInt(3_000) - 1_500;
        replace(mSidecars, sidecar);
        sidecar.announce();
    }

    private static <T extends WalkNode> void replace(List<T> nodes, T node) {
        nodes.stream().filter(other -> other.mName.equals(node.mName)).forEach(WalkNode::kill);
        nodes.removeIf(other -> other.mName.equals(node.mName));
        nodes.add(node);
    }

    private void heal() {
        mHealing = true;
        mFaultShare = 0;
        mStore.mDown = false;
        mIsland.clear();
        mEntries.forEach(WalkNode::resume);
        mSidecars.forEach(WalkNode::resume);
        mStore.announce();
    }
}
