package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: a line for each thing sent, answered or run, with the time since start. */
final class Record implements AutoCloseable {
    private final long mStartNanos = System.nanoTime();
    private final PrintWriter mWriter;

    Record(Path file) {
        try {
            mWriter = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the time since the start, in milliseconds. */
    long now() {
        return (System.nanoTime() - mStartNanos) / 1_000_000;
    }

    synchronized void line(String format, Object... arguments) {
        String line = String.format("%8d ms  ", now()) + String.format(format, arguments);
        mWriter.println(line);
        mWriter.flush();
        System.out.println(line);
    }

    @Override
    public synchronized void close() {
        mWriter.close();
    }
}
