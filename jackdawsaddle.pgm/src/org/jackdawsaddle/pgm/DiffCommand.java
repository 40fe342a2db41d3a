package org.jackdawsaddle.pgm;

import java.nio.file.Path;
import java.util.List;
import org.jackdawsaddle.config.ConfigurationDiff;
import org.jackdawsaddle.config.ConfigurationReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * Compares configuration files with the configuration in force at an entry. Does not validate them:
 * a file with errors is left out without a message.
 */
@Command(
        name = "diff",
        mixinStandardHelpOptions = true,
        description =
                "Lists what publishing the files would change in the set in force at the entry.")
final class DiffCommand extends AdminCommand {
    @Parameters(
            arity = "1..*",
            paramLabel = "FILE",
            description = "JSON files with configuration objects.")
    private List<Path> mFiles;

    @Override
    public Integer call() {
        ConfigurationReader reader = new ConfigurationReader();
        mFiles.forEach(reader::read);
        List<String> lines = ConfigurationDiff.lines(client().configuration().set(), reader.set());
        print(lines, lines);
        return lines.isEmpty() ? Main.OK : Main.NEGATIVE_RESULT;
    }
}
