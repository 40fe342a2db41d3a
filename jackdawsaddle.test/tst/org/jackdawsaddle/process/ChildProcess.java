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

    private final String mRole;
    private final Path mSettings;
    private final File mLog;
    private Process mProcess;

    ChildProcess(Path folder, String role, String name, Object settings) {
        mRole = role;
        mSettings = folder.resolve(name + ".json");
        mLog = folder.resolve(name + ".log").toFile();
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
        command.addAll(List.of("org.jackdawsaddle.pgm.Main", mRole, "-s", mSettings.toString()));
        try {
            mProcess =
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(mLog))
                            .start();
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
                throw new IllegalStateException(mRole + " does not end");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
