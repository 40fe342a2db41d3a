package org.jackdawsaddle.errors;

/** Thrown when a request or an input file is invalid; the detail names the field. */
public class RequestInvalidException extends JackdawException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the given detail. */
    public RequestInvalidException(String detail) {
        super(ErrorCode.REQUEST_INVALID, detail);
    }
}
