package org.jackdawsaddle.errors;

/** The base class of this library's exceptions, which carry an error code and a detail. */
public class JackdawException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode mErrorCode;
    private final String mDetail;

    /**
     * Creates an exception whose message has the code, the detail and the remedy of the code.
     *
     * @param detail what went wrong and where
     */
    public JackdawException(ErrorCode errorCode, String detail) {
        super(errorCode.code() + ": " + detail + " Remedy: " + errorCode.remedy());
        mErrorCode = errorCode;
        mDetail = detail;
    }

    /** Returns the code that classifies the error. */
    public ErrorCode errorCode() {
        return mErrorCode;
    }

    /** Returns what went wrong and where, without the code and the remedy. */
    public String detail() {
        return mDetail;
    }
}
