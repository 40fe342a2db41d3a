package org.jackdawsaddle.trace;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.jackdawsaddle.ManagedService;

/**
 * Records the events that a core handles and the actions that it produces, as JSON lines. Output is
 * buffered, so the trace of a killed process lacks its last lines. Errors in writing are ignored.
 */
public final class TraceWriter implements ManagedService {
    private final Path mFile;
    private final TraceHeader mHeader;
    private PrintWriter mOut;

    /** Creates a writer; an existing file is overwritten when the writer starts. */
    public TraceWriter(Path file, TraceHeader header) {
        mFile = file;
        mHeader = header;
    }

    /**
     * Opens the file and writes the header.
     *
     * @throws UncheckedIOException if the file cannot be created
     */
    @Override
    public void start() {
        try {
            mOut = new PrintWriter(Files.newBufferedWriter(mFile, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mOut.println(TraceFormat.toJsonLine(mHeader));
    }

    @Override
    public void stop() {
        mOut.close();
    }

    /**
     * Records an event.
     *
     * @param now the time at which the core handles the event, in milliseconds since the epoch
     */
    public void writeEvent(long now, Object event) {
        mOut.println(
                TraceFormat.toJsonLine(new TraceLine(now, TraceFormat.toTree(event), null, null)));
    }

    /** Records the actions that the core has produced since the last call, if there are any. */
    public void writeActions(List<?> actions) {
        if (!actions.isEmpty()) {
            List<JsonNode> actionTrees = actions.stream().map(TraceFormat::toTree).toList();
            mOut.println(TraceFormat.toJsonLine(new TraceLine(0, null, actionTrees, null)));
        }
    }
}
