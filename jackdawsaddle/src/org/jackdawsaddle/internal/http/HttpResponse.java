package org.jackdawsaddle.internal.http;

/**
 * The answer to an HTTP call.
 *
 * @param status the status code
 * @param body the body as text
 */
public record HttpResponse(int status, String body) {
    private static final int FIRST_SUCCESS = 200;
    private static final int LAST_SUCCESS = 299;

    /** Returns whether the status says that the call succeeded. */
    public boolean succeeded() {
        return status >= FIRST_SUCCESS && status <= LAST_SUCCESS;
    }
}
