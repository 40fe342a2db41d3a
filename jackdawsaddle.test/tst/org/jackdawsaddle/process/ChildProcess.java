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
    private static final long EXIT_TIMEOUT_SECONDS = 40;
    private static final List<String> JVM_FLAGS =
            List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx128m", "-Xshare:auto");

    private static final int EXIT_CODE_SIGHUP = 129;

    /** What a Java process takes to reach its first line of code, and its end to be noticed. */
    private static final long JVM_START_MILLIS = 1_300;

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
        writeSettings(settings);
    }

    private ChildProcess(Path folder, List<String> arguments, String name, Object settings) {
        mSettings = folder.resolve(name + ".json");
        mLog = folder.resolve(name + ".log").toFile();
        mArguments = arguments;
        writeSettings(settings);
    }

    /** Returns a role as the platform runs it, which finds its settings by a variable. */
    static ChildProcess platformRole(Path folder, String role, String name, Object settings) {
        return new ChildProcess(folder, List.of("platform", role), name, settings);
    }

    /** Replaces the settings file; the process reads it when it is told to, or notices. */
    void writeSettings(Object settings) {
        try {
            Files.writeString(mSettings, Json.write(settings));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void start() {
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElseThrow());
        command.addAll(JVM_FLAGS);
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
    void sendSighup() {
        signal("HUP");
    }

    /**
     * Returns whether a hang-up ended it in the first moments of the Java process, before any code
     * of the project could ignore it.
     */
    boolean killedBySighupAtStart() {
        long uptimeMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartedAt);
        return exitCode() == EXIT_CODE_SIGHUP && uptimeMillis <= JVM_START_MILLIS;
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
            if (!mProcess.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException(mArguments + " does not end");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
