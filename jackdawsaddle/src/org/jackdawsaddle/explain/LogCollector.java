package org.jackdawsaddle.explain;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * Reads the logs of all processes and keeps the lines that can be relevant to one job: those that
 * mention it and those that concern processes, targets, the store or the configuration.
 */
public final class LogCollector {
    private final String mJobId;
    private final List<LogLine> mLines = new ArrayList<>();

    /** Creates a collector for the job with the given id. */
    public LogCollector(String jobId) {
        mJobId = jobId;
    }

    /**
     * Reads a log file, or all files directly in a folder. The name of a file up to its first dot
     * is the name of the process.
     *
     * @throws UncheckedIOException if a file cannot be read or is not UTF-8 text
     */
    public void readAll(Path path) {
        try {
            if (Files.isDirectory(path)) {
                try (Stream<Path> files = Files.list(path)) {
                    files.filter(Files::isRegularFile).sorted().forEach(this::readFile);
                }
            } else {
                readFile(path);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void readFile(Path file) {
        String name = file.getFileName().toString();
        int dot = name.indexOf('.');
        try (Stream<String> lines = Files.lines(file)) {
            read(dot > 0 ? name.substring(0, dot) : name, lines);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reads log lines.
     *
     * @param process the process that wrote the lines without a process name of their own
     */
    public void read(String process, Stream<String> lines) {
        lines.map(line -> LogLine.read(process, line))
                .flatMap(line -> line.stream())
                .filter(line ->
                        line.mentions(mJobId) || JobTimeline.STATE_EVENTS.contains(line.event()))
                .forEach(mLines::add);
    }

    /** Returns the timeline of the job according to the lines read so far. */
    public JobTimeline timeline() {
        return new JobTimeline(mJobId, mLines);
    }
}
