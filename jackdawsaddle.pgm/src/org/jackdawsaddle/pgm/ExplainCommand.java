package org.jackdawsaddle.pgm;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.jackdawsaddle.errors.RequestInvalidException;
import org.jackdawsaddle.explain.JobTimeline;
import org.jackdawsaddle.explain.LogCollector;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints the timeline of a job and its verdict from log files or standard input. */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description = {
            "Prints the timeline and the verdict of a job from the logs of all processes.",
            "Lines marked * mention the job; others concern the processes and targets involved.",
            "Exits 1 if no line mentions the job."
        })
final class ExplainCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "ID", description = "The id of the job.")
    private String mJobId;

    @Parameters(
            index = "1..*",
            paramLabel = "LOGS",
            description = {
                "Log files, named PROCESS or PROCESS.SUFFIX, or folders of log files.",
                "Default: standard input; each line names its process just before the JSON object."
            })
    private List<Path> mLogs = List.of();

    @Spec private CommandSpec mSpec;

    @Override
    public Integer call() {
        LogCollector collector = new LogCollector(mJobId);
        if (mLogs.isEmpty()) {
            BufferedReader input =
                    new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
            collector.read("-", input.lines());
        }
        mLogs.forEach(path -> read(collector, path));
        JobTimeline timeline = collector.timeline();
        PrintWriter out = mSpec.commandLine().getOut();
        timeline.text().forEach(out::println);
        out.flush();
        return timeline.lines().isEmpty() ? Main.NEGATIVE_RESULT : Main.OK;
    }

    private static void read(LogCollector collector, Path path) {
        try {
            collector.readAll(path);
        } catch (UncheckedIOException e) {
            throw new RequestInvalidException(
                    "LOGS: " + path + " cannot be read or contains text that is not UTF-8");
        }
    }
}
