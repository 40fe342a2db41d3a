package org.jackdawsaddle.internal.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import org.jackdawsaddle.config.ServiceObject;
import org.jackdawsaddle.job.SubmissionId;

/** Says which partition a submission or a target belongs to. */
public final class PartitionMap {
    private final int mPartitionCount;

    /** Creates the map for the given number of partitions, at least 1. */
    public PartitionMap(int partitions) {
        mPartitionCount = partitions;
    }

    /** Returns the partition that decides for a submission to the service. */
    public int partitionOf(ServiceObject service, SubmissionId id) {
        return partition(service, id.partitionKey() % servicePartitions(service));
    }

    /** Returns the partition that uses a target of the service. */
    public int partitionOf(ServiceObject service, String target) {
        return partition(service, hash(target) % servicePartitions(service));
    }

    /** Returns the id changed so that the given partition decides for it, if it can be. */
    public SubmissionId bind(ServiceObject service, SubmissionId id, int partition) {
        int offset = Math.floorMod(partition - hash(service.name()), mPartitionCount);
        int shard = id.partitionKey() - id.partitionKey() % servicePartitions(service) + offset;
        return id.withPartitionKey(shard >= 1 << Short.SIZE ? offset : shard);
    }

    /** Returns whether work of the service can belong to the partition. */
    public boolean serves(ServiceObject service, int partition) {
        return Math.floorMod(partition - hash(service.name()), mPartitionCount)
                < servicePartitions(service);
    }

    /** Returns a number that is the same in every process, at least 0. */
    static int hash(String text) {
        CRC32C checksum = new CRC32C();
        checksum.update(text.getBytes(StandardCharsets.UTF_8));
        return (int) (checksum.getValue() & Integer.MAX_VALUE);
    }

    private int partition(ServiceObject service, int offset) {
        return (hash(service.name()) % mPartitionCount + offset) % mPartitionCount;
    }

    private int servicePartitions(ServiceObject service) {
        return Math.clamp(service.partitions(), 1, mPartitionCount);
    }
}
