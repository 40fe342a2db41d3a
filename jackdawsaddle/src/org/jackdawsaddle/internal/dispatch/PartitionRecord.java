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
 * @param owner the entry that owns the partition; null before the first claim and after a release
 * @param roster the sidecars on which the owner may start tasks, and those on which any owner may
 *     have started tasks of submission ids that are still valid
 */
public record PartitionRecord(int index, long epoch, NodeId owner, List<RosterMember> roster) {

    /** Copies the roster. */
    public PartitionRecord {
        roster = List.copyOf(roster);
    }

    /** Returns the owner, or empty before the first claim and after a release. */
    @JsonIgnore
    public Optional<NodeId> currentOwner() {
        return Optional.ofNullable(owner);
    }

    /** Returns the record after a claim by the given entry, with the next epoch. */
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

    /** Returns the roster members on which the owner may start tasks. */
    @JsonIgnore
    public List<NodeId> eligibleSidecars() {
        return roster.stream().filter(RosterMember::eligible).map(RosterMember::sidecar).toList();
    }
}
