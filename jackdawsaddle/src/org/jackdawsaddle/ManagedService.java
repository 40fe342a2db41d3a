package org.jackdawsaddle;

/** A component that holds threads or connections from its start to its stop. */
public interface ManagedService {
    /** Starts the service; connections to other processes may still be opening at return. */
    void start();

    /**
     * Stops the service and releases its threads and connections. A service that drains first waits
     * for work in progress, for a limited time.
     */
    void stop();
}
