import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with milliseconds since its start. */
final class Record {
    private final long mStart = System.nanoTime();
    private final PrintWriter mWriter;

    Record(Path file) throws IOException {
        mWriter = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Returns the milliseconds since the start. */
    long now() {
        return (System.nanoTime() - mStart) / 1_000_000;
    }

    synchronized void line(String text) {
        mWriter.printf("%8d  %s%n", now(), text);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
