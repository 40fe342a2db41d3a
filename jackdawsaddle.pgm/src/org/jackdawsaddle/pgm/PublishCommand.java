package org.jackdawsaddle.pgm;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jackdawsaddle.config.AuditRecord;
import org.jackdawsaddle.config.ConfigurationReader;
import org.jackdawsaddle.config.Finding;
import org.jackdawsaddle.errors.ConfigurationInvalidException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Validates the objects of configuration files and publishes them. */
@Command(
        name = "publish",
        mixinStandardHelpOptions = true,
        description = "Validates the files and publishes their objects; all others are removed.")
final class PublishCommand extends AdminCommand {
    /**
     * The JSON output of publish and drain.
     *
     * @param published the record of the publication
     * @param unconfirmed with --wait, the processes that have not confirmed the revision in time;
     *     empty without --wait, which says nothing about confirmation
     */
    record Result(AuditRecord published, List<String> unconfirmed) {}

    @Parameters(
            arity = "1..*",
            paramLabel = "FILE",
            description = "JSON files with configuration objects.")
    private List<Path> mFiles;

    @Option(
            names = "--base",
            paramLabel = "REVISION",
            description =
                    "Revision that the change is based on. Default: that in force at the entry.")
    private Long mBaseRevision;

    @Mixin private Publication mPublication;

    @Override
    public Integer call() {
        ConfigurationReader reader = new ConfigurationReader();
        mFiles.forEach(reader::read);
        List<Finding> findings = reader.findings();
        if (!findings.isEmpty()) {
            throw new ConfigurationInvalidException(findings);
        }
        long baseRevision =
                mBaseRevision == null ? client().configuration().revision() : mBaseRevision;
        AuditRecord record = mPublication.publish(client(), baseRevision, reader.set());
        return report(record, mPublication.awaitConfirmation(client(), record.revision()));
    }

    private int report(AuditRecord record, List<String> unconfirmed) {
        List<String> lines = new ArrayList<>();
        lines.add("published revision " + record.revision() + " " + record.hash());
        lines.addAll(record.changes());
        unconfirmed.forEach(process -> lines.add("not confirmed: " + process));
        print(new Result(record, unconfirmed), lines);
        return unconfirmed.isEmpty() ? Main.OK : Main.NEGATIVE_RESULT;
    }
}
