package org.jackdawsaddle.errors;

/** Thrown when a request, argument or input file is invalid; the detail names the place. */
public class RequestInvalidException extends JackdawException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the given detail. */
    public RequestInvalidException(String detail) {
        super(ErrorCode.REQUEST_INVALID, detail);
    }
}
