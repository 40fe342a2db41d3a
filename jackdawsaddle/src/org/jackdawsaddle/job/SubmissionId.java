package org.jackdawsaddle.job;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.UUID;
import java.util.random.RandomGenerator;

/**
 * The id of a submission: a UUID of version 7 (RFC 9562), which contains its creation time.
 *
 * <p>The low 16 bits are the partition key, which determines the partition that the id belongs to.
 * An entry sets it to issue ids of its own partitions.
 *
 * @param high the most significant 64 bits
 * @param low the least significant 64 bits
 */
public record SubmissionId(long high, long low) implements Comparable<SubmissionId> {
    private static final int VERSION = 7;
    private static final int TIMESTAMP_SHIFT = 16;
    private static final long VERSION_BITS = 0x7000L;
    private static final long VARIANT_BITS = 0x8000000000000000L;
    private static final long RANDOM_A_MASK = 0xFFFL;
    private static final long RANDOM_B_MASK = 0x3FFFFFFFFFFFFFFFL;
    private static final long PARTITION_KEY_MASK = 0xFFFFL;

    /** Creates a random id with the given timestamp in milliseconds since the epoch. */
    public static SubmissionId create(long unixMillis, RandomGenerator random) {
        long high = (unixMillis << TIMESTAMP_SHIFT) | VERSION_BITS;
        high |= random.nextLong() & RANDOM_A_MASK;
        long low = VARIANT_BITS | (random.nextLong() & RANDOM_B_MASK);
        return new SubmissionId(high, low);
    }

    /**
     * Parses the canonical text form of a UUID.
     *
     * @throws IllegalArgumentException if the text is not a UUID of version 7
     */
    @JsonCreator
    public static SubmissionId parse(String text) {
        UUID uuid = UUID.fromString(text);
        if (uuid.version() != VERSION) {
            throw new IllegalArgumentException(
                    "A submission id must be a UUID of version 7: " + text);
        }
        return new SubmissionId(uuid.getMostSignificantBits(), uuid.getLeastSignificantBits());
    }

    /** Returns a copy of the id with another partition key; only its low 16 bits are used. */
    public SubmissionId withPartitionKey(int partitionKey) {
        return new SubmissionId(
                high, (low & ~PARTITION_KEY_MASK) | (partitionKey & PARTITION_KEY_MASK));
    }

    /** Returns the creation time in milliseconds since the epoch, by the creator's clock. */
    public long unixMillis() {
        return high >>> TIMESTAMP_SHIFT;
    }

    /** Returns the partition key, from 0 to 65535. */
    public int partitionKey() {
        return (int) (low & PARTITION_KEY_MASK);
    }

    @Override
    public int compareTo(SubmissionId other) {
        int order = Long.compareUnsigned(high, other.high);
        return order != 0 ? order : Long.compareUnsigned(low, other.low);
    }

    @JsonValue
    @Override
    public String toString() {
        return new UUID(high, low).toString();
    }
}
