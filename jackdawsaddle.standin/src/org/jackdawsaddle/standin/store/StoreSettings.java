package org.jackdawsaddle.standin.store;

/**
 * The settings of the stand-in store.
 *
 * @param httpAddress where it listens, as host:port
 */
public record StoreSettings(String httpAddress) {}
