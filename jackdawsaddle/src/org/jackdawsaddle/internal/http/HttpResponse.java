package org.jackdawsaddle.internal.http;

/**
 * An HTTP response.
 *
 * @param status the status code
 * @param body the body as text
 */
public record HttpResponse(int status, String body) {
    private static final int FIRST_SUCCESS = 200;
    private static final int LAST_SUCCESS = 299;

    /** Returns whether the status is in the range 200 to 299. */
    public boolean succeeded() {
        return status >= FIRST_SUCCESS && status <= LAST_SUCCESS;
    }
}
