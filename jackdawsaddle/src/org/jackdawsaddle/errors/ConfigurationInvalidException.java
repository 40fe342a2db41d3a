package org.jackdawsaddle.errors;

import java.util.List;
import java.util.stream.Collectors;
import org.jackdawsaddle.config.Finding;

/** Reports a set of objects that cannot be published, with all its findings. */
public class ConfigurationInvalidException extends JackdawException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with the findings, at least one. */
    public ConfigurationInvalidException(List<Finding> findings) {
        super(
                ErrorCode.CONFIGURATION_INVALID,
                findings.stream().map(Finding::line).collect(Collectors.joining(" ")));
    }
}
