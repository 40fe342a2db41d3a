package org.jackdawsaddle.internal.dispatch;

/** The keys of this system in the platform's store. */
public final class StoreKeys {
    /** The prefix of every key. */
    public static final String PREFIX = "jackdawsaddle/";

    /** The key of the published configuration with its audit trail. */
    public static final String CONFIGURATION = PREFIX + "configuration";

    /** The key of the layout. */
    public static final String LAYOUT = PREFIX + "layout";

    private static final String PARTITIONS = PREFIX + "partitions/";
    private static final String ENTRIES = PREFIX + "entries/";

    private StoreKeys() {}

    /** Returns the key of a partition's record. */
    public static String partition(int index) {
        return PARTITIONS + index;
    }

    /** Returns the key of an entry's record. */
    public static String entry(String name) {
        return ENTRIES + name;
    }

    /** Returns whether the key is that of a partition's record. */
    public static boolean isPartition(String key) {
        return key.startsWith(PARTITIONS);
    }

    /** Returns whether the key is that of an entry's record. */
    public static boolean isEntry(String key) {
        return key.startsWith(ENTRIES);
    }

    /** Returns the partition index that a partition's key contains. */
    public static int partitionIndex(String key) {
        return Integer.parseInt(key.substring(PARTITIONS.length()));
    }

    /** Returns the entry name that an entry's key contains. */
    public static String entryName(String key) {
        return key.substring(ENTRIES.length());
    }
}
