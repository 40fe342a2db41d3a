package org.jackdawsaddle.standin.target;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Counts the starts of each task on a stand-in target. */
public final class StartLedger {
    private final Map<String, Integer> mStartCounts = new ConcurrentHashMap<>();
    private final String mFile;

    /**
     * Creates an empty ledger.
     *
     * @param file a file to which each start is appended, one task per line; empty for none
     */
    public StartLedger(String file) {
        mFile = file;
    }

    /**
     * Records a start of a task.
     *
     * @param task the task, as id/index
     * @throws UncheckedIOException if the file cannot be written
     */
    public void recordStart(String task) {
        mStartCounts.merge(task, 1, Integer::sum);
        if (!mFile.isEmpty()) {
            append(task);
        }
    }

    /** Returns how often each task, given as id/index, was started. */
    public Map<String, Integer> startCounts() {
        return new TreeMap<>(mStartCounts);
    }

    private synchronized void append(String task) {
        try {
            Files.writeString(
                    Path.of(mFile),
                    task + "\n",
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
