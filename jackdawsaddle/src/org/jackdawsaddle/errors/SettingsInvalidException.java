package org.jackdawsaddle.errors;

/**
 * Thrown when a settings file or an address in it is invalid; the detail starts with the name of
 * the file, or with the address.
 */
public class SettingsInvalidException extends JackdawException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the given detail. */
    public SettingsInvalidException(String detail) {
        super(ErrorCode.SETTINGS_INVALID, detail);
    }
}
