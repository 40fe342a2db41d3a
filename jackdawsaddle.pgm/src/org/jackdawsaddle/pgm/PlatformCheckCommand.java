package org.jackdawsaddle.pgm;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.jackdawsaddle.config.Finding;
import org.jackdawsaddle.errors.RequestInvalidException;
import org.jackdawsaddle.platform.ConfigurationFileChecker;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Validates a file with a configuration for the platform's store, without writing it. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Validates a configuration before it is written to the platform's store.")
final class PlatformCheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The configuration, in JSON as in the store.")
    private Path mFile;

    @Spec private CommandSpec mSpec;

    @Override
    public Integer call() {
        List<Finding> findings = ConfigurationFileChecker.check(read());
        PrintWriter out = mSpec.commandLine().getOut();
        findings.forEach(finding -> out.println(finding.line()));
        out.println(findings.size() + " findings");
        out.flush();
        return findings.isEmpty() ? Main.OK : Main.NEGATIVE_RESULT;
    }

    private String read() {
        try {
            return Files.readString(mFile);
        } catch (IOException e) {
            throw new RequestInvalidException(
                    "FILE: " + mFile + " cannot be read or is not UTF-8 text");
        }
    }
}
