package org.jackdawsaddle.internal.collection;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that forgets the entry that was added first when it exceeds its maximum size.
 *
 * <p>Not thread-safe.
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;

    private final int mMaxSize;

    /** Creates an empty map. */
    public BoundedMap(int maxSize) {
        mMaxSize = maxSize;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > mMaxSize;
    }
}
