package org.jackdawsaddle.pgm;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.jackdawsaddle.config.ConfigurationReader;
import org.jackdawsaddle.config.Finding;
import org.jackdawsaddle.internal.json.StrictJson;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Validates configuration files without publishing them. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Validates the objects of the files as one set and lists all findings.")
final class CheckCommand implements Callable<Integer> {
    @Parameters(
            arity = "1..*",
            paramLabel = "FILE",
            description = "JSON files with configuration objects.")
    private List<Path> mFiles;

    @Option(names = "--json", description = "Print JSON instead of text.")
    private boolean mPrintJson;

    @Spec private CommandSpec mSpec;

    @Override
    public Integer call() {
        ConfigurationReader reader = new ConfigurationReader();
        mFiles.forEach(reader::read);
        List<Finding> findings = reader.findings();
        PrintWriter out = mSpec.commandLine().getOut();
        if (mPrintJson) {
            out.println(StrictJson.pretty(findings));
        } else {
            findings.forEach(finding -> out.println(finding.line()));
            out.println(findings.size() + " findings");
        }
        out.flush();
        return findings.isEmpty() ? Main.OK : Main.NEGATIVE_RESULT;
    }
}
