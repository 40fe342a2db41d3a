package org.jackdawsaddle.config;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jackdawsaddle.errors.StoreUnavailableException;
import org.jackdawsaddle.standin.store.StoreState;
import org.jackdawsaddle.store.StoreClient;
import org.jackdawsaddle.store.StoreValue;

/**
 * An in-memory store that can lose the response to a write after applying it, and can run an action
 * before each write. Values never expire, and a watch responds immediately even without changes.
 */
final class FakeStore implements StoreClient {
    final StoreState mState = new StoreState();
    boolean mLoseWriteResponses;
    Runnable mBeforeWrite = () -> {};

    @Override
    public CompletableFuture<StoreValue> read(String key) {
        return CompletableFuture.completedFuture(mState.read(key));
    }

    @Override
    public CompletableFuture<Optional<Long>> compareAndSet(
            String key, long expectedVersion, String value, Optional<Long> leaseMillis) {
        mBeforeWrite.run();
        Optional<Long> version = mState.compareAndSet(key, expectedVersion, value, Long.MAX_VALUE);
        return mLoseWriteResponses
                ? CompletableFuture.failedFuture(
                        new StoreUnavailableException("write response lost"))
                : CompletableFuture.completedFuture(version);
    }

    @Override
    public CompletableFuture<Changes> watch(String prefix, long position, long waitMillis) {
        return CompletableFuture.completedFuture(
                new Changes(mState.position(), mState.changes(prefix, position)));
    }
}
