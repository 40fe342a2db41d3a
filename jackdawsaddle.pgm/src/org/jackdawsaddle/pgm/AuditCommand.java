package org.jackdawsaddle.pgm;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.jackdawsaddle.config.AuditRecord;
import picocli.CommandLine.Command;

/** Prints the audit trail of the configuration in force at an entry. */
@Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description = "Lists the published changes up to the entry's revision, newest first.")
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
