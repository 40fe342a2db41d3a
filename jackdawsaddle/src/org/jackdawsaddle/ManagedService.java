package org.jackdawsaddle;

/** A component that holds threads or connections from its start to its stop. */
public interface ManagedService {
    /** Starts the service, and returns when it is ready for use. */
    void start();

    /** Finishes work in progress, then releases all threads and connections. */
    void stop();
}
