import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: a line for each thing that was sent, answered or run, with its time. */
final class CaseRecord {
    private final long mStart = System.nanoTime();
    private final PrintWriter mOut;

    CaseRecord(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    /** Returns the milliseconds since the record was opened. */
    long now() {
        return (System.nanoTime() - mStart) / 1_000_000;
    }

    synchronized void line(String text) {
        mOut.printf("%8.3f %s%n", now() / 1000.0, text);
    }
}
