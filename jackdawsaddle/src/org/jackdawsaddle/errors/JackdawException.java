package org.jackdawsaddle.errors;

/** Base of all exceptions of this library: unchecked, with a code and a remedy. */
public class JackdawException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode mErrorCode;
    private final String mDetail;

    /** Creates an exception with a detail that names the place of the error. */
    public JackdawException(ErrorCode errorCode, String detail) {
        super(errorCode.code() + ": " + detail + " Remedy: " + errorCode.remedy());
        mErrorCode = errorCode;
        mDetail = detail;
    }

    /** Returns the typed kind of the error. */
    public ErrorCode errorCode() {
        return mErrorCode;
    }

    /** Returns the place and the nature of this occurrence. */
    public String detail() {
        return mDetail;
    }
}
