package org.jackdawsaddle.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jackdawsaddle.config.Finding;

/** Validates the configuration of a pool before an operator publishes it. */
public final class PoolConfigurationChecker {
    private final List<Finding> mFindings = new ArrayList<>();

    private PoolConfigurationChecker() {}

    /** Returns all problems found; empty if the configuration is valid. */
    public static List<Finding> check(PoolConfiguration configuration) {
        PoolConfigurationChecker checker = new PoolConfigurationChecker();
        if (configuration.version() <= 0) {
            checker.add(
                    "configuration", "version", "is not above 0.", "Increase it with each change.");
        }
        configuration.queues().forEach(checker::checkQueue);
        checker.checkNames(configuration.queues());
        checker.checkRoutes(configuration.queues());
        return List.copyOf(checker.mFindings);
    }

    private void checkQueue(PoolQueue queue) {
        String object = "queue " + queue.name();
        if (!queue.prefix().startsWith("/") || !queue.prefix().endsWith("/")) {
            add(object, "prefix", "does not begin and end with /.", "Add the slashes.");
        }
        if (queue.service().isEmpty()) {
            add(object, "service", "is empty.", "Name the service whose targets run the tasks.");
        }
        if (queue.priority() < 0) {
            add(
                    object,
                    "priority",
                    "is below 0.",
                    "Set it to 0 or more; queues with 0 are served first.");
        }
        if (queue.maxAttempts() < 1) {
            add(object, "maxAttempts", "is below 1.", "Set it to 1 or more.");
        }
        if (queue.stretch() < 1) {
            add(
                    object,
                    "stretch",
                    "is below 1.",
                    "Set it to 1 or more: a job takes at least the time of its tasks.");
        }
        if (queue.targetMillis() < 0) {
            add(
                    object,
                    "targetMillis",
                    "is below 0.",
                    "Set it to 0 or more: the milliseconds allowed beyond the time of the tasks.");
        }
    }

    private void checkNames(List<PoolQueue> queues) {
        Map<String, PoolQueue> known = new HashMap<>();
        for (PoolQueue queue : queues) {
            if (known.putIfAbsent(queue.name(), queue) != null) {
                add("queue " + queue.name(), "name", "is used twice.", "Rename one of them.");
            }
        }
    }

    private void checkRoutes(List<PoolQueue> queues) {
        Map<String, PoolQueue> known = new HashMap<>();
        for (PoolQueue queue : queues) {
            PoolQueue other = known.putIfAbsent(queue.host() + queue.prefix(), queue);
            if (other != null) {
                add(
                        "queue " + queue.name(),
                        "prefix",
                        "is also that of queue " + other.name() + " on the same host.",
                        "Change one of them, so that each request matches one queue.");
            }
        }
    }

    private void add(String object, String path, String problem, String remedy) {
        mFindings.add(new Finding(object, path, problem, remedy));
    }
}
