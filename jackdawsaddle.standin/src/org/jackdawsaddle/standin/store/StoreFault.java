package org.jackdawsaddle.standin.store;

/** The faults of the stand-in store. */
public enum StoreFault {
    /** It works normally. */
    NONE,
    /** It closes every connection without a response and executes no request. */
    DOWN,
    /** It executes every request after a delay of 1.5 s. */
    SLOW,
    /** It executes requests but closes the connection without a response. */
    LOSE_ANSWERS
}
