package org.jackdawsaddle.errors;

/** Thrown when another change was published first; the detail describes the latest change. */
public class ConfigurationConflictException extends JackdawException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the given detail. */
    public ConfigurationConflictException(String detail) {
        super(ErrorCode.CONFIGURATION_CONFLICT, detail);
    }
}
