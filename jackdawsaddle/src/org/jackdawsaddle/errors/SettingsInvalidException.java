package org.jackdawsaddle.errors;

/** Thrown when a settings file or an address in it is invalid; the detail starts with either. */
public class SettingsInvalidException extends JackdawException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the given detail. */
    public SettingsInvalidException(String detail) {
        super(ErrorCode.SETTINGS_INVALID, detail);
    }
}
