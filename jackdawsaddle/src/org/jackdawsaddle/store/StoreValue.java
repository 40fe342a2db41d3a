package org.jackdawsaddle.store;

/**
 * A key of the platform's store with its value, if it has one.
 *
 * @param key the key
 * @param version the version of the value, above 0, or 0 if the key has no value
 * @param value the text of the value; empty if the key has no value
 */
public record StoreValue(String key, long version, String value) {

    /** Returns whether the key has no value. */
    public boolean absent() {
        return version == 0;
    }
}
