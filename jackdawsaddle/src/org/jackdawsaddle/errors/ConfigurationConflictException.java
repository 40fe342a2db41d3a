package org.jackdawsaddle.errors;

/** Reports that another change was published first; the detail shows the rival. */
public class ConfigurationConflictException extends JackdawException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with the given detail. */
    public ConfigurationConflictException(String detail) {
        super(ErrorCode.CONFIGURATION_CONFLICT, detail);
    }
}
