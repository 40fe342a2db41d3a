package org.jackdawsaddle.standin.store;

/** How the stand-in store misbehaves. */
public enum StoreFault {
    /** It behaves. */
    NONE,
    /** It closes every connection without an answer and does nothing. */
    DOWN,
    /** It answers every call late. */
    SLOW,
    /** It does what is asked and closes the connection without an answer. */
    LOSE_ANSWERS
}
