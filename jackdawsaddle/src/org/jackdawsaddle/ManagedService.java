package org.jackdawsaddle;

/** Something that holds threads or connections between its start and its stop. */
public interface ManagedService {
    /** Starts the service; returns once it can be used. */
    void start();

    /** Finishes what is in hand, then frees everything that the service holds. */
    void stop();
}
