package org.jackdawsaddle.internal.pool.sidecar;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;

/**
 * The entries that have connected to a sidecar. One that is lost is kept until it has no runs left
 * there. All times are in milliseconds since the epoch.
 */
final class EntryTable {
    private final Map<NodeId, EntryView> mViews = new LinkedHashMap<>();

    Optional<EntryView> find(NodeId entry) {
        return Optional.ofNullable(mViews.get(entry));
    }

    /** Returns the view of an entry that is connected now. */
    Optional<EntryView> findConnected(NodeId entry) {
        return find(entry).filter(EntryView::connected);
    }

    /** Records a new connection and returns the view of its entry. */
    EntryView connect(NodeId entry, long now) {
        EntryView view = mViews.computeIfAbsent(entry, node -> new EntryView());
        view.onConnected(now);
        return view;
    }

    void forEach(BiConsumer<NodeId, EntryView> action) {
        mViews.forEach(action);
    }

    /** Returns whether runs of an entry may be active without anyone waiting for them. */
    boolean unsettled(NodeId entry, long now) {
        return find(entry).map(view -> view.unsettled(now)).orElse(true);
    }

    /** Returns whether the lease of an entry's runs must not be renewed, as nothing is heard. */
    boolean silent(NodeId entry, long now) {
        return find(entry).map(view -> view.silent(now)).orElse(true);
    }

    /** Returns whether the runs of an entry must end: it was lost for too long. */
    boolean reconnectTimedOut(NodeId entry, long now) {
        return find(entry).map(view -> view.reconnectTimedOut(now)).orElse(true);
    }

    /**
     * Marks the entries as lost that have been silent for too long.
     *
     * @param owners the entries that own runs
     * @return these entries, whose connections must be closed
     */
    List<NodeId> markTimedOut(Set<NodeId> owners, long now) {
        List<NodeId> timedOut =
                mViews.entrySet().stream()
                        .filter(entry ->
                                entry.getValue()
                                        .connectionTimedOut(owners.contains(entry.getKey()), now))
                        .map(Map.Entry::getKey)
                        .toList();
        timedOut.forEach(entry -> mViews.get(entry).onLost(now));
        return timedOut;
    }

    /**
     * Removes the entries that did not reconnect.
     *
     * @param owners the entries that own runs, which are kept
     */
    void evict(Set<NodeId> owners, long now) {
        mViews.entrySet()
                .removeIf(entry ->
                        !entry.getValue().connected()
                                && entry.getValue().reconnectTimedOut(now)
                                && !owners.contains(entry.getKey()));
    }

    /** Returns when the next timeout or report is due; {@code Long.MAX_VALUE} for never. */
    long nextDeadline(Demand free, Set<NodeId> owners, long now) {
        long deadline = Long.MAX_VALUE;
        for (Map.Entry<NodeId, EntryView> entry : mViews.entrySet()) {
            boolean ownsRuns = owners.contains(entry.getKey());
            deadline = Math.min(deadline, entry.getValue().nextDeadline(free, ownsRuns, now));
        }
        return deadline;
    }
}
