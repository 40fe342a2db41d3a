package org.jackdawsaddle.internal.pool;

/** A hash of texts that differs strongly for similar texts, and is the same in every process. */
public final class MixedHash {
    /** 2^32 divided by the golden ratio, as an odd number: multiplicative hashing. */
    private static final int MULTIPLIER = 0x9E3779B1;

    private static final int HALF_INT_BITS = 16;

    private MixedHash() {}

    /** Returns the hash of a text. */
    public static int of(String text) {
        int hash = text.hashCode() * MULTIPLIER;
        return (hash ^ hash >>> HALF_INT_BITS) * MULTIPLIER;
    }
}
