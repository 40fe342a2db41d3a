package org.jackdawsaddle.process;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jackdawsaddle.internal.json.Json;

/** A real process of the system, which a test can kill, freeze and resume. */
final class ChildProcess {
    private static final long STOP_PATIENCE_SECONDS = 40;
    private static final List<String> FLAGS =
            List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx128m", "-Xshare:auto");

    private static final int HUNG_UP = 129;

    /** What a Java process takes to reach its first line of code, and its end to be noticed. */
    private static final long JAVA_START_MILLIS = 1_300;

    private static final String SETTINGS_VARIABLE = "JACKDAWSADDLE_CONFIG";

    private final List<String> mArguments;
    private final Path mSettings;
    private final File mLog;
    private Process mProcess;
    private long mStartedAt;

    ChildProcess(Path folder, String role, String name, Object settings) {
        mSettings = folder.resolve(name + ".json");
        mLog = folder.resolve(name + ".log").toFile();
        mArguments = List.of(role, "-s", mSettings.toString());
        write(settings);
    }

    private ChildProcess(Path folder, List<String> arguments, String name, Object settings) {
        mSettings = folder.resolve(name + ".json");
        mLog = folder.resolve(name + ".log").toFile();
        mArguments = arguments;
        write(settings);
    }

    /** Returns a role as the platform runs it, which finds its settings by a variable. */
    static ChildProcess onPlatform(Path folder, String role, String name, Object settings) {
        return new ChildProcess(folder, List.of("platform", role), name, settings);
    }

    /** Replaces the settings file; the process reads it when it is told to, or notices. */
    void write(Object settings) {
        try {
            Files.writeString(mSettings, Json.write(settings));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void start() {
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElseThrow());
        command.addAll(FLAGS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.add("org.jackdawsaddle.pgm.Main");
        command.addAll(mArguments);
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(mLog));
        builder.environment().put(SETTINGS_VARIABLE, mSettings.toString());
        try {
            mProcess = builder.start();
            mStartedAt = System.nanoTime();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Ends the process without notice and waits until it is gone. */
    void kill() {
        mProcess.destroyForcibly();
        await();
    }

    /** Asks the process to end and waits until it has drained. */
    void terminate() {
        mProcess.destroy();
        await();
    }

    /** Tells the process to read its settings again. */
    void hangUp() {
        signal("HUP");
    }

    /**
     * Returns whether a hang-up ended it in the first moments of the Java process, before any code
     * of the project could ignore it.
     */
    boolean hungUpAtStart() {
        long lived = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartedAt);
        return exitCode() == HUNG_UP && lived <= JAVA_START_MILLIS;
    }

    boolean alive() {
        return mProcess.isAlive();
    }

    int exitCode() {
        return mProcess.exitValue();
    }

    void freeze() {
        signal("STOP");
    }

    void resume() {
        signal("CONT");
    }

    String log() {
        try {
            return Files.readString(mLog.toPath());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void await() {
        try {
            if (!mProcess.waitFor(STOP_PATIENCE_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException(mArguments + " does not end");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
