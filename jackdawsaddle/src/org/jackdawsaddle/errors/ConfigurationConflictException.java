package org.jackdawsaddle.errors;

/**
 * Thrown when a change is not based on the current revision; the detail describes the latest change
 * since its base, if the audit trail has one.
 */
public class ConfigurationConflictException extends JackdawException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the given detail. */
    public ConfigurationConflictException(String detail) {
        super(ErrorCode.CONFIGURATION_CONFLICT, detail);
    }
}
