package org.jackdawsaddle.errors;

import java.util.List;
import java.util.stream.Collectors;
import org.jackdawsaddle.config.Finding;

/** Thrown when a configuration set is invalid; the detail lists all findings. */
public class ConfigurationInvalidException extends JackdawException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the findings, of which there must be at least one. */
    public ConfigurationInvalidException(List<Finding> findings) {
        super(
                ErrorCode.CONFIGURATION_INVALID,
                findings.stream().map(Finding::line).collect(Collectors.joining(" ")));
    }
}
