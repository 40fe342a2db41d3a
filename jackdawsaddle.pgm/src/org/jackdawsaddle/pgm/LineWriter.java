package org.jackdawsaddle.pgm;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import org.jackdawsaddle.ManagedService;

/**
 * Writes lines to an output on a thread of its own. Lines are dropped if the output cannot keep up
 * or fails. Thread-safe.
 */
final class LineWriter implements ManagedService {
    private static final int MAX_BUFFERED_LINES = 1_024;
    private static final long STOP_TIMEOUT_MILLIS = 500;

    private final BlockingQueue<String> mLines = new ArrayBlockingQueue<>(MAX_BUFFERED_LINES);
    private final OutputStream mOutput;
    private final Thread mThread =
            Thread.ofPlatform().name("log").daemon().unstarted(this::writeUntilInterrupted);

    /** Creates a writer that buffers lines until it is started. */
    LineWriter(OutputStream output) {
        mOutput = output;
    }

    @Override
    public void start() {
        mThread.start();
    }

    /** Stops after the lines that are buffered, unless the output blocks. */
    @Override
    public void stop() {
        mThread.interrupt();
        try {
            mThread.join(STOP_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns whether lines are written. */
    boolean running() {
        return mThread.isAlive();
    }

    /** Adds a line, which has its line separator, or drops it. Does not block. */
    void add(String line) {
        mLines.offer(line);
    }

    private void writeUntilInterrupted() {
        List<String> lines = new ArrayList<>();
        try {
            while (true) {
                lines.add(mLines.take());
                mLines.drainTo(lines);
                write(lines);
                lines.clear();
            }
        } catch (InterruptedException e) {
            mLines.drainTo(lines);
            write(lines);
        }
    }

    private void write(List<String> lines) {
        try {
            mOutput.write(String.join("", lines).getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            // The lines are lost; there is no other place to report it.
        }
    }
}
