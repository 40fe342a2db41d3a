package org.jackdawsaddle.pgm;

import java.io.PrintWriter;
import java.util.List;
import java.util.concurrent.Callable;
import org.jackdawsaddle.internal.json.StrictJson;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The base class of commands that send requests to an entry and print text or JSON. */
abstract class AdminCommand implements Callable<Integer> {
    @Mixin private AdminClient mClient;

    @Option(names = "--json", description = "Print JSON instead of text.")
    private boolean mPrintJson;

    @Spec private CommandSpec mSpec;

    AdminClient client() {
        return mClient;
    }

    PrintWriter out() {
        return mSpec.commandLine().getOut();
    }

    /** Prints the value as JSON if the --json option is set, and the lines otherwise. */
    void print(Object value, List<String> lines) {
        if (mPrintJson) {
            out().println(StrictJson.pretty(value));
        } else {
            lines.forEach(out()::println);
        }
        out().flush();
    }
}
