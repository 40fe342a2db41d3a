package org.jackdawsaddle.internal.dispatch;

/**
 * A parsed value of the store.
 *
 * @param version its version in the store
 * @param value the value
 * @param <T> the type of the value
 */
record Versioned<T>(long version, T value) {}
