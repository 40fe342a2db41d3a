package org.jackdawsaddle.internal.dispatch;

/**
 * A parsed value from the store.
 *
 * @param version the version of the value in the store
 * @param value the value
 * @param <T> the type of the value
 */
record Versioned<T>(long version, T value) {}
