package org.jackdawsaddle.pgm;

import java.io.PrintWriter;
import java.util.List;
import java.util.concurrent.Callable;
import org.jackdawsaddle.internal.json.StrictJson;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Base of the commands that ask an entry and print a table or JSON. */
abstract class AdminCommand implements Callable<Integer> {
    @Mixin private AdminClient mClient;

    @Option(names = "--json", description = "Print JSON in place of text.")
    private boolean mJson;

    @Spec private CommandSpec mSpec;

    AdminClient client() {
        return mClient;
    }

    PrintWriter out() {
        return mSpec.commandLine().getOut();
    }

    /** Prints the value as JSON if that is wanted, and the lines otherwise. */
    void print(Object value, List<String> lines) {
        if (mJson) {
            out().println(StrictJson.pretty(value));
        } else {
            lines.forEach(out()::println);
        }
        out().flush();
    }
}
