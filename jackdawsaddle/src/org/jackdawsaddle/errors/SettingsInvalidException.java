package org.jackdawsaddle.errors;

/** Reports a settings file that cannot be used; the detail starts with the path. */
public class SettingsInvalidException extends JackdawException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with the given detail. */
    public SettingsInvalidException(String detail) {
        super(ErrorCode.SETTINGS_INVALID, detail);
    }
}
