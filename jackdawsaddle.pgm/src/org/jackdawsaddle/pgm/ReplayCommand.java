package org.jackdawsaddle.pgm;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.jackdawsaddle.errors.RequestInvalidException;
import org.jackdawsaddle.trace.TraceReplay;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Replays a trace that a process recorded, and prints the first difference. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description = {
            "Replays a recorded trace on the core of an entry or a sidecar.",
            "Prints the first difference from the trace and exits 1, or exits 0 if there is none."
        })
final class ReplayCommand implements Callable<Integer> {
    @Parameters(paramLabel = "TRACE", description = "Trace file of JSON lines, see docs/DESIGN.md.")
    private Path mTraceFile;

    @Spec private CommandSpec mSpec;

    @Override
    public Integer call() {
        List<String> lines = read();
        Optional<TraceReplay.Difference> difference = TraceReplay.run(lines);
        PrintWriter out = mSpec.commandLine().getOut();
        if (difference.isEmpty()) {
            out.println(lines.size() + " lines, no difference");
        } else {
            out.println("line " + difference.get().lineNumber());
            out.println("  expected " + difference.get().expected());
            out.println("  actual   " + difference.get().actual());
        }
        out.flush();
        return difference.isEmpty() ? Main.OK : Main.NEGATIVE_RESULT;
    }

    private List<String> read() {
        try {
            return Files.readAllLines(mTraceFile);
        } catch (IOException e) {
            throw new RequestInvalidException(
                    "TRACE: " + mTraceFile + " cannot be read or is not UTF-8 text");
        }
    }
}
