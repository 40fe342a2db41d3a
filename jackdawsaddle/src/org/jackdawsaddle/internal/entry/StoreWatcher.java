package org.jackdawsaddle.internal.entry;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.internal.dispatch.StoreKeys;
import org.jackdawsaddle.internal.dispatch.Timing;
import org.jackdawsaddle.store.StoreClient;
import org.jackdawsaddle.store.StoreValue;

/**
 * Watches the keys of this system in the store by long polling, one request at a time, and reports
 * all values at first, then those that change. A failed request is retried after a delay.
 */
public final class StoreWatcher implements ManagedService {
    private static final long LONG_POLL_MILLIS = 20_000;

    private final StoreClient mStore;
    private final Consumer<List<StoreValue>> mListener;
    private volatile boolean mRunning;
    private volatile boolean mFailing;
    private long mPosition;

    /**
     * Creates a watcher that runs once started.
     *
     * @param listener receives the values; called on threads of the store client
     */
    public StoreWatcher(StoreClient store, Consumer<List<StoreValue>> listener) {
        mStore = store;
        mListener = listener;
    }

    @Override
    public void start() {
        mRunning = true;
        watchNext();
    }

    @Override
    public void stop() {
        mRunning = false;
    }

    /** Returns whether the latest completed request has failed. */
    public boolean failing() {
        return mFailing;
    }

    private void watchNext() {
        if (mRunning) {
            mStore.watch(StoreKeys.PREFIX, mPosition, LONG_POLL_MILLIS)
                    .whenComplete(this::onWatchCompleted);
        }
    }

    private void onWatchCompleted(StoreClient.Changes changes, Throwable failure) {
        mFailing = failure != null;
        if (failure != null) {
            CompletableFuture.delayedExecutor(Timing.STORE_RETRY_MILLIS, TimeUnit.MILLISECONDS)
                    .execute(this::watchNext);
            return;
        }
        mPosition = changes.position();
        if (!changes.values().isEmpty()) {
            mListener.accept(changes.values());
        }
        watchNext();
    }
}
