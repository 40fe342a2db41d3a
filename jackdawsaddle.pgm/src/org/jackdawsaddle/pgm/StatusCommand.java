package org.jackdawsaddle.pgm;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.jackdawsaddle.internal.dispatch.EntryStatus;
import picocli.CommandLine.Command;

/** Prints the status of the entries that respond, their partitions and targets. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Prints entries, partitions, targets, slots, speeds, queues and revisions.")
final class StatusCommand extends AdminCommand {
    @Override
    public Integer call() {
        List<EntryStatus> all = client().status();
        List<String> lines = new ArrayList<>();
        lines.add(String.format("%-16s %-7s %8s  %s", "ENTRY", "READY", "REVISION", "PARTITIONS"));
        all.forEach(entry -> lines.add(entryLine(entry)));
        lines.add("");
        lines.add(
                String.format(
                        "%-16s %-12s %-12s %-10s %9s %6s %8s",
                        "TARGET",
                        "SERVICE",
                        "DATA CENTRE",
                        "STATE",
                        "RUNNING",
                        "SPEED",
                        "REVISION"));
        all.stream()
                .flatMap(entry -> entry.targets().stream())
                .sorted((one, other) -> one.target().compareTo(other.target()))
                .forEach(target -> lines.add(targetLine(target)));
        print(all, lines);
        return Main.OK;
    }

    private static String entryLine(EntryStatus entry) {
        List<String> partitions = new ArrayList<>();
        for (EntryStatus.PartitionStatus partition : entry.partitions()) {
            partitions.add(
                    String.format(
                            "%d %s epoch %d, %d jobs, %d tasks queued",
                            partition.index(),
                            partition.phase().toLowerCase(Locale.ROOT),
                            partition.epoch(),
                            partition.jobsInHand(),
                            partition.tasksQueued()));
        }
        return String.format(
                "%-16s %-7s %8d  %s",
                entry.entry(), entry.ready(), entry.revision(), String.join("; ", partitions));
    }

    private static String targetLine(EntryStatus.TargetStatus target) {
        return String.format(
                Locale.ROOT,
                "%-16s %-12s %-12s %-10s %5d/%-3d %6.2f %8d",
                target.target(),
                target.service(),
                target.dataCentre(),
                target.state(),
                target.running(),
                target.slots(),
                target.speed(),
                target.revision());
    }
}
