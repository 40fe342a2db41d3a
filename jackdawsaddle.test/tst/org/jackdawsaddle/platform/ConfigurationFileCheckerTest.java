package org.jackdawsaddle.platform;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.jackdawsaddle.config.Finding;
import org.testng.annotations.Test;

/** Findings in a configuration file, before it is written to the platform's store. */
public class ConfigurationFileCheckerTest {
    @Test
    public void acceptsValidConfiguration() {
        assertEquals(findings(route("a", "/a/", 1), route("b", "/b/", 1)), List.of());
    }

    @Test
    public void reportsAllFindings() {
        assertEquals(
                findings(route("a", "/a/", 0), route("a", "/a/", 1), route("c", "c", 1)),
                List.of("queue a maxAttempts", "queue c prefix", "queue a name", "queue a prefix"));
    }

    @Test
    public void reportsUnreadableConfiguration() {
        assertEquals(ConfigurationFileChecker.check("{\"version\":").size(), 1);
        assertEquals(ConfigurationFileChecker.check("{\"version\":1}").size(), 1);
        assertEquals(findings("{}").size(), 4, "prefix, service, maxAttempts, stretch");
    }

    private static List<String> findings(String... routes) {
        String text = "{\"version\":3,\"routes\":[" + String.join(",", routes) + "]}";
        return ConfigurationFileChecker.check(text).stream()
                .map(ConfigurationFileCheckerTest::location)
                .toList();
    }

    private static String location(Finding finding) {
        return finding.object() + " " + finding.path();
    }

    private static String route(String name, String prefix, int attempts) {
        return String.format(
                "{\"name\":\"%s\",\"host\":\"h\",\"prefix\":\"%s\",\"service\":\"s\","
                        + "\"priority\":0,\"maxAttempts\":%d,\"stretch\":1.6,"
                        + "\"targetDurationMs\":60,\"timeoutMs\":1500}",
                name, prefix, attempts);
    }
}
