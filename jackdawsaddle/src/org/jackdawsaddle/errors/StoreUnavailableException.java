package org.jackdawsaddle.errors;

/**
 * Thrown when the platform's store does not respond or responds with an error; a write may have
 * taken effect.
 */
public class StoreUnavailableException extends JackdawException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the given detail. */
    public StoreUnavailableException(String detail) {
        super(ErrorCode.STORE_UNAVAILABLE, detail);
    }
}
