package org.jackdawsaddle.pgm;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.jackdawsaddle.config.AuditRecord;
import picocli.CommandLine.Command;

/** Prints the published changes of the configuration with time, author and reason. */
@Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description = "Lists the published changes, newest first.")
final class AuditCommand extends AdminCommand {
    @Override
    public Integer call() {
        List<AuditRecord> audit = client().configuration().audit();
        List<String> lines = new ArrayList<>();
        for (AuditRecord record : audit) {
            lines.add(
                    String.join(
                            "  ",
                            Long.toString(record.revision()),
                            Instant.ofEpochMilli(record.publishedAt()).toString(),
                            record.author(),
                            record.reason()));
            record.changes().forEach(change -> lines.add("    " + change));
        }
        print(audit, lines);
        return Main.OK;
    }
}
