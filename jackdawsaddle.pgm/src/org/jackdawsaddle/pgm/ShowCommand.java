package org.jackdawsaddle.pgm;

import java.util.List;
import org.jackdawsaddle.config.ConfigurationHead;
import org.jackdawsaddle.internal.json.StrictJson;
import picocli.CommandLine.Command;

/** Prints the configuration in force at an entry. */
@Command(
        name = "show",
        mixinStandardHelpOptions = true,
        description = "Prints the set in force at the entry, in the format that publish reads.")
final class ShowCommand extends AdminCommand {
    @Override
    public Integer call() {
        ConfigurationHead head = client().configuration();
        print(head.set(), List.of(StrictJson.pretty(head.set())));
        return Main.OK;
    }
}
