package org.jackdawsaddle.internal.entry;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jackdawsaddle.errors.ConfigurationConflictException;
import org.jackdawsaddle.internal.dispatch.Layout;
import org.jackdawsaddle.internal.dispatch.PartitionRecord;
import org.jackdawsaddle.internal.dispatch.RosterMember;
import org.jackdawsaddle.internal.dispatch.StoreKeys;
import org.jackdawsaddle.internal.dispatch.Timing;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.store.StoreClient;
import org.jackdawsaddle.store.StoreValue;

/**
 * Retires sidecars in the rosters of all partitions, if operators know that they will not return.
 */
final class RosterEditor {
    private final StoreClient mStore;

    RosterEditor(StoreClient store) {
        mStore = store;
    }

    /**
     * Retires all eligible incarnations of a sidecar.
     *
     * @param name the name of the sidecar
     * @param now the current time in milliseconds since the epoch
     * @return the number of partitions changed; fails with {@link ConfigurationConflictException}
     *     if a partition was changed concurrently. The partitions before it then stay changed, and
     *     the call can be repeated.
     */
    CompletableFuture<Integer> retire(String name, long now) {
        return mStore.read(StoreKeys.LAYOUT)
                .thenCompose(layout -> {
                    int partitions = Json.read(layout.value(), Layout.class).partitions();
                    CompletableFuture<Integer> changed = CompletableFuture.completedFuture(0);
                    for (int index = 0; index < partitions; index++) {
                        int partition = index;
                        changed =
                                changed.thenCompose(sum ->
                                        retireInPartition(name, now, partition)
                                                .thenApply(count -> sum + count));
                    }
                    return changed;
                });
    }

    private CompletableFuture<Integer> retireInPartition(String name, long now, int partition) {
        String key = StoreKeys.partition(partition);
        return mStore.read(key)
                .thenCompose(value -> {
                    Optional<PartitionRecord> changed = retire(value, name, now);
                    if (changed.isEmpty()) {
                        return CompletableFuture.completedFuture(0);
                    }
                    return mStore.compareAndSet(
                                    key,
                                    value.version(),
                                    Json.write(changed.get()),
                                    Optional.empty())
                            .thenApply(version -> requireWritten(version, key));
                });
    }

    private static int requireWritten(Optional<Long> version, String key) {
        if (version.isEmpty()) {
            throw new ConfigurationConflictException(key + " was changed concurrently.");
        }
        return 1;
    }

    private static Optional<PartitionRecord> retire(StoreValue value, String name, long now) {
        if (value.absent()) {
            return Optional.empty();
        }
        PartitionRecord record = Json.read(value.value(), PartitionRecord.class);
        List<RosterMember> roster =
                record.roster().stream().map(member -> retire(member, name, now)).toList();
        return roster.equals(record.roster())
                ? Optional.empty()
                : Optional.of(record.withRoster(roster));
    }

    /**
     * Sets an upper bound as newest id, because the sidecar cannot be asked for the newest id that
     * was started on it.
     */
    private static RosterMember retire(RosterMember member, String name, long now) {
        boolean matches = member.eligible() && member.sidecar().name().equals(name);
        long newestIdMillis = now + Timing.MAX_CLOCK_SKEW_MILLIS + Timing.ID_HORIZON_MILLIS;
        return matches ? new RosterMember(member.sidecar(), now, newestIdMillis) : member;
    }
}
