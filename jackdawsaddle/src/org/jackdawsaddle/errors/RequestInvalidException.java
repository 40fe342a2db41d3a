package org.jackdawsaddle.errors;

/** Reports a caller's request that cannot be accepted; the detail names the field. */
public class RequestInvalidException extends JackdawException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with the given detail. */
    public RequestInvalidException(String detail) {
        super(ErrorCode.REQUEST_INVALID, detail);
    }
}
