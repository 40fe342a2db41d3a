package org.jackdawsaddle.store;

/**
 * A value of the platform's store.
 *
 * @param key the key
 * @param version the version of this value, above 0; 0 where the key has no value
 * @param value the text, empty where the key has no value
 */
public record StoreValue(String key, long version, String value) {

    /** Returns whether the key has no value. */
    public boolean absent() {
        return version == 0;
    }
}
