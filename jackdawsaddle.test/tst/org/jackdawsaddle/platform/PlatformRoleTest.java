package org.jackdawsaddle.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jackdawsaddle.internal.json.Json;
import org.testng.annotations.Test;

/** Runs a role as the platform does: in a process of its own, with its settings in a file. */
public class PlatformRoleTest {
    private static final int EXIT_CODE_SIGTERM = 143;
    private static final long TIMEOUT_SECONDS = 20;
    private static final long POLL_INTERVAL_MILLIS = 50;

    @Test
    public void reloadsSettingsOnSighup() throws IOException, InterruptedException {
        // The role connects to the host of a seed at the peer port, not at the seed's own port.
        Path folder = Files.createTempDirectory("role");
        Path settings = folder.resolve("settings.json");
        Path log = folder.resolve("log");
        Files.writeString(settings, settings(List.of("127.82.0.2:18166")));
        ProcessBuilder builder =
                new ProcessBuilder(
                                ProcessHandle.current().info().command().orElseThrow(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                "org.jackdawsaddle.pgm.Main",
                                "platform",
                                "sidecar")
                        .redirectErrorStream(true)
                        .redirectOutput(log.toFile());
        builder.environment().put("JACKDAWSADDLE_CONFIG", settings.toString());
        Process role = builder.start();
        try {
            await(log, "127.82.0.2:17720");
            Files.writeString(settings, settings(List.of("127.82.0.3:18166")));
            new ProcessBuilder("kill", "-HUP", Long.toString(role.pid())).start().waitFor();
            await(log, "127.82.0.3:17720");
            assertTrue(role.isAlive());
        } finally {
            role.destroy();
            assertTrue(role.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
        assertEquals(role.exitValue(), EXIT_CODE_SIGTERM);
        assertTrue(Files.readString(log).contains("\"stopped\""));
    }

    private static String settings(List<String> seeds) {
        return Json.write(
                Map.of(
                        "instance", "role-test",
                        "dataCentre", "here",
                        "ip", "127.82.0.9",
                        "announcementAddress", "127.82.0.9:18166",
                        "peerPort", 17_720,
                        "seeds", seeds,
                        "storeAddress", "127.82.0.1:18169",
                        "graceSeconds", 2));
    }

    private static void await(Path log, String text) throws IOException, InterruptedException {
        for (long waited = 0;
                waited < TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS);
                waited += POLL_INTERVAL_MILLIS) {
            if (Files.readString(log).contains(text)) {
                return;
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        throw new AssertionError(text + " is not in the log:\n" + Files.readString(log));
    }
}
