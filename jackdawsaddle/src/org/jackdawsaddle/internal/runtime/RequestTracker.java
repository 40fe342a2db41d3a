package org.jackdawsaddle.internal.runtime;

import io.undertow.server.ExchangeCompletionListener;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.util.concurrent.TimeUnit;

/**
 * Counts the requests whose head was read and whose response has not been sent, and refuses new
 * ones before a server stops.
 */
final class RequestTracker implements HttpHandler, ExchangeCompletionListener {
    private static final String RETRY_AFTER_SECONDS = "1";

    private final HttpHandler mHandler;
    private int mRequestsInProgress;
    private boolean mRefusing;

    /**
     * Creates a tracker.
     *
     * @param handler handles the requests that are not refused
     */
    RequestTracker(HttpHandler handler) {
        mHandler = handler;
    }

    /** Responds to new requests with status 503 and closes their connections, from now on. */
    synchronized void refuseRequests() {
        mRefusing = true;
    }

    synchronized int requestsInProgress() {
        return mRequestsInProgress;
    }

    /**
     * Waits until no request is in progress. Returns early, with the interrupt status set, if the
     * thread is interrupted.
     *
     * @param timeoutMillis the longest time to wait, in milliseconds
     * @return whether no request is in progress
     */
    synchronized boolean awaitIdle(long timeoutMillis) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        try {
            while (mRequestsInProgress > 0 && System.nanoTime() < deadline) {
                TimeUnit.NANOSECONDS.timedWait(this, deadline - System.nanoTime());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return mRequestsInProgress == 0;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        boolean refusing = begin();
        exchange.addExchangeCompleteListener(this);
        if (refusing) {
            exchange.setPersistent(false);
            exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, RETRY_AFTER_SECONDS);
            exchange.endExchange();
        } else {
            mHandler.handleRequest(exchange);
        }
    }

    @Override
    public void exchangeEvent(HttpServerExchange exchange, NextListener next) {
        end();
        next.proceed();
    }

    private synchronized boolean begin() {
        mRequestsInProgress++;
        return mRefusing;
    }

    private synchronized void end() {
        mRequestsInProgress--;
        if (mRequestsInProgress == 0) {
            notifyAll();
        }
    }
}
