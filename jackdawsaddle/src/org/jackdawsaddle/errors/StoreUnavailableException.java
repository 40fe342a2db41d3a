package org.jackdawsaddle.errors;

/** Reports that the platform's store did not give an answer; a write may have taken effect. */
public class StoreUnavailableException extends JackdawException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with the given detail. */
    public StoreUnavailableException(String detail) {
        super(ErrorCode.STORE_UNAVAILABLE, detail);
    }
}
