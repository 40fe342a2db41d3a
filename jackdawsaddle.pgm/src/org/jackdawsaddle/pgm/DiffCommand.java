package org.jackdawsaddle.pgm;

import java.nio.file.Path;
import java.util.List;
import org.jackdawsaddle.config.ConfigurationDiff;
import org.jackdawsaddle.config.ConfigurationReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Compares configuration files with the published configuration; does not validate them. */
@Command(
        name = "diff",
        mixinStandardHelpOptions = true,
        description = "Lists the objects that publishing the files would add, change or remove.")
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
