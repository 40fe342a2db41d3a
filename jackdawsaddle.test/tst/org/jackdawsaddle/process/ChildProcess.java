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

/** A process of the system that a test can start, terminate, kill, freeze and resume. */
final class ChildProcess {
    private static final long EXIT_TIMEOUT_SECONDS = 40;
    private static final List<String> JVM_FLAGS =
            List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx128m", "-Xshare:auto");

    private static final int EXIT_CODE_SIGHUP = 129;

    /** Time until a JVM runs the project's code, plus the time until the test sees its exit. */
    private static final long JVM_START_MILLIS = 1_300;

    private static final String SETTINGS_VARIABLE = "JACKDAWSADDLE_CONFIG";

    private final List<String> mArguments;
    private final Path mSettingsFile;
    private final File mLogFile;
    private Process mProcess;
    private long mStartedNanos;

    /**
     * Creates a process that is not running.
     *
     * @param folder the folder for its settings file and its log
     * @param role the subcommand that runs the role
     * @param name the name of both files without their extensions
     * @param settings the settings, written to the file as JSON
     */
    ChildProcess(Path folder, String role, String name, Object settings) {
        mSettingsFile = folder.resolve(name + ".json");
        mLogFile = folder.resolve(name + ".log").toFile();
        mArguments = List.of(role, "-s", mSettingsFile.toString());
        writeSettings(settings);
    }

    private ChildProcess(Path folder, List<String> arguments, String name, Object settings) {
        mSettingsFile = folder.resolve(name + ".json");
        mLogFile = folder.resolve(name + ".log").toFile();
        mArguments = arguments;
        writeSettings(settings);
    }

    /**
     * Creates a process as the platform runs a role: an environment variable names the settings
     * file. The parameters are those of the constructor.
     */
    static ChildProcess platformRole(Path folder, String role, String name, Object settings) {
        return new ChildProcess(folder, List.of("platform", role), name, settings);
    }

    /** Replaces the settings file; the process reloads it on SIGHUP or when it sees the change. */
    void writeSettings(Object settings) {
        try {
            Files.writeString(mSettingsFile, Json.write(settings));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts the process; its log continues in the same file after a restart. */
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
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(mLogFile));
        builder.environment().put(SETTINGS_VARIABLE, mSettingsFile.toString());
        try {
            mProcess = builder.start();
            mStartedNanos = System.nanoTime();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends SIGKILL and waits for the process to exit. */
    void kill() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
            await();
        }
    }

    /** Sends SIGTERM and waits for the process to drain and exit. */
    void terminate() {
        mProcess.destroy();
        await();
    }

    /** Sends SIGHUP, on which the process reloads its settings. */
    void sendSighup() {
        signal("HUP");
    }

    /**
     * Returns whether SIGHUP terminated the process while the JVM was starting, before the
     * project's code could handle the signal.
     */
    boolean killedBySighupAtStart() {
        long uptimeMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartedNanos);
        return exitCode() == EXIT_CODE_SIGHUP && uptimeMillis <= JVM_START_MILLIS;
    }

    boolean alive() {
        return mProcess.isAlive();
    }

    /** Returns the id of the running process. */
    long pid() {
        return mProcess.pid();
    }

    /** Returns the exit code; must only be called after the process has exited. */
    int exitCode() {
        return mProcess.exitValue();
    }

    /** Sends SIGSTOP, which suspends the process. */
    void freeze() {
        signal("STOP");
    }

    /** Sends SIGCONT, which resumes a frozen process. */
    void resume() {
        if (mProcess != null) {
            signal("CONT");
        }
    }

    /** Returns what the process has written to its log so far. */
    String log() {
        try {
            return Files.readString(mLogFile.toPath());
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
                throw new IllegalStateException(
                        mArguments + " did not exit in time after SIGTERM or SIGKILL");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
