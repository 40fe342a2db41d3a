package org.jackdawsaddle.internal.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import org.jackdawsaddle.config.ServiceObject;
import org.jackdawsaddle.job.SubmissionId;

/**
 * Maps submissions and targets to partitions.
 *
 * <p>The partitions of a service are consecutive, modulo the number of all partitions, and start at
 * the hash of the service name.
 */
public final class PartitionMap {
    private final int mPartitionCount;

    /** Creates the map for the given number of partitions, at least 1. */
    public PartitionMap(int partitions) {
        mPartitionCount = partitions;
    }

    /** Returns the partition of a submission to the service. */
    public int partitionOf(ServiceObject service, SubmissionId id) {
        return partition(service, id.partitionKey() % servicePartitions(service));
    }

    /** Returns the partition of a target of the service. */
    public int partitionOf(ServiceObject service, String target) {
        return partition(service, hash(target) % servicePartitions(service));
    }

    /**
     * Returns the id with its partition key changed so that it maps to the given partition, which
     * must be one of the service.
     */
    public SubmissionId bind(ServiceObject service, SubmissionId id, int partition) {
        int offset = Math.floorMod(partition - hash(service.name()), mPartitionCount);
        int key = id.partitionKey() - id.partitionKey() % servicePartitions(service) + offset;
        return id.withPartitionKey(key >= 1 << Short.SIZE ? offset : key);
    }

    /** Returns whether the partition is one of the partitions of the service. */
    public boolean serves(ServiceObject service, int partition) {
        return Math.floorMod(partition - hash(service.name()), mPartitionCount)
                < servicePartitions(service);
    }

    /** Returns a non-negative hash that is the same in every process. */
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
