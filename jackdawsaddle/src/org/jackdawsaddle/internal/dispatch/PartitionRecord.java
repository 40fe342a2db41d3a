package org.jackdawsaddle.internal.dispatch;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.NodeId;

/**
 * The record of a partition in the store.
 *
 * @param index the index of the partition, from 0
 * @param epoch the epoch of the ownership, which grows by one with each claim
 * @param owner the entry that owns the partition; null after it was released
 * @param roster the sidecars on which owners may have started tasks within the lifetime of ids
 */
public record PartitionRecord(int index, long epoch, NodeId owner, List<RosterMember> roster) {

    /** Copies the roster. */
    public PartitionRecord {
        roster = List.copyOf(roster);
    }

    /** Returns the owner, or empty after the partition was released. */
    @JsonIgnore
    public Optional<NodeId> currentOwner() {
        return Optional.ofNullable(owner);
    }

    /** Returns the record after a claim by the given entry. */
    public PartitionRecord claimedBy(NodeId entry) {
        return new PartitionRecord(index, epoch + 1, entry, roster);
    }

    /** Returns the record after its owner has released the partition. */
    public PartitionRecord released() {
        return new PartitionRecord(index, epoch, null, roster);
    }

    /** Returns the record with another roster. */
    public PartitionRecord withRoster(List<RosterMember> newRoster) {
        return new PartitionRecord(index, epoch, owner, newRoster);
    }

    /** Returns the sidecars on which tasks may be started. */
    @JsonIgnore
    public List<NodeId> eligibleSidecars() {
        return roster.stream().filter(RosterMember::eligible).map(RosterMember::sidecar).toList();
    }
}
