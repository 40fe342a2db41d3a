package org.jackdawsaddle.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/** Validates a configuration set and reports all findings, not just the first. */
public final class ConfigurationChecker {
    /** The largest number of tasks per job that the system supports. */
    public static final int MAX_TASKS_PER_JOB = 160;

    private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
    private static final String NAME_REMEDY =
            "Use 1 to 63 lower-case letters, digits and hyphens, with no hyphen at the start.";

    private final ConfigurationSet mSet;
    private final List<Finding> mFindings = new ArrayList<>();

    private ConfigurationChecker(ConfigurationSet set) {
        mSet = set;
    }

    /** Returns the findings; empty if the set is valid. */
    public static List<Finding> check(ConfigurationSet set) {
        ConfigurationChecker checker = new ConfigurationChecker(set);
        checker.checkAll();
        return List.copyOf(checker.mFindings);
    }

    /**
     * Returns the findings of a set that is to replace the current one; empty if it may. The number
     * of partitions of a published service must not change.
     */
    public static List<Finding> check(ConfigurationSet current, ConfigurationSet set) {
        ConfigurationChecker checker = new ConfigurationChecker(set);
        checker.checkAll();
        set.services().forEach(service -> checker.checkPartitionsUnchanged(current, service));
        return List.copyOf(checker.mFindings);
    }

    private void checkAll() {
        checkNames("service", mSet.services());
        checkNames("target", mSet.targets());
        checkNames("jobKind", mSet.jobKinds());
        checkNames("limit", mSet.limits());
        checkNames("team", mSet.teams());
        mSet.services().forEach(this::checkService);
        mSet.targets().forEach(this::checkTarget);
        mSet.jobKinds().forEach(this::checkJobKind);
        mSet.limits().forEach(this::checkLimit);
        mSet.teams().forEach(this::checkTeam);
    }

    private void checkNames(String type, List<? extends NamedObject> objects) {
        Set<String> seen = new HashSet<>();
        for (int index = 0; index < objects.size(); index++) {
            String name = objects.get(index).name();
            String path = type + "s[" + index + "].name";
            if (name == null || !NAME_PATTERN.matcher(name).matches()) {
                addFinding(type + " " + name, path, "is not a valid name", NAME_REMEDY);
            } else if (!seen.add(name)) {
                addFinding(
                        type + " " + name,
                        path,
                        "is used more than once",
                        "Remove or rename a duplicate.");
            }
        }
    }

    private void checkService(ServiceObject service) {
        String object = "service " + service.name();
        checkMinimum(object, "partitions", service.partitions(), 1);
        checkMinimum(object, "queueTasks", service.queueTasks(), 1);
    }

    private void checkTarget(TargetObject target) {
        String object = "target " + target.name();
        checkReference(object, "service", "service", target.service(), mSet.services());
        checkMinimum(object, "slots", target.slots(), 0);
    }

    private void checkJobKind(JobKind kind) {
        String object = "jobKind " + kind.name();
        checkReference(object, "service", "service", kind.service(), mSet.services());
        checkMinimum(object, "maxTasks", kind.maxTasks(), 1);
        if (kind.maxTasks() > MAX_TASKS_PER_JOB) {
            String remedy = "Use at most " + MAX_TASKS_PER_JOB + " and split larger jobs.";
            addFinding(object, "maxTasks", "is " + kind.maxTasks(), remedy);
        }
        checkMinimum(object, "typicalMillis", kind.typicalMillis(), 1);
        checkMinimum(object, "timeoutMillis", kind.timeoutMillis(), 1);
        if (kind.timeoutMillis() < kind.typicalMillis()) {
            String remedy = "Allow at least the typical run time of one task.";
            addFinding(object, "timeoutMillis", "is below typicalMillis", remedy);
        }
        Demand demand = kind.demand();
        if (demand.cores() < 0 || demand.memoryMegabytes() < 0 || demand.accelerators() < 0) {
            addFinding(object, "demand", "is negative", "Use 0 for a resource that is not needed.");
        }
    }

    private void checkLimit(LimitObject limit) {
        String object = "limit " + limit.name();
        checkReference(object, "kind", "jobKind", limit.kind(), mSet.jobKinds());
        if (!limit.team().isEmpty()) {
            checkReference(object, "team", "team", limit.team(), mSet.teams());
        }
        checkMinimum(object, "tasksInHand", limit.tasksInHand(), 1);
    }

    private void checkTeam(TeamObject team) {
        checkMinimum("team " + team.name(), "tasksInHand", team.tasksInHand(), 0);
    }

    private void checkPartitionsUnchanged(ConfigurationSet current, ServiceObject service) {
        Optional<ServiceObject> before = current.service(service.name());
        if (before.isPresent() && before.get().partitions() != service.partitions()) {
            String problem = "differs from the published value " + before.get().partitions();
            String remedy =
                    "Publish a service with a new name; otherwise ids in use change partitions.";
            addFinding("service " + service.name(), "partitions", problem, remedy);
        }
    }

    private void checkReference(
            String object,
            String path,
            String type,
            String name,
            List<? extends NamedObject> objects) {
        boolean found = objects.stream().anyMatch(candidate -> candidate.name().equals(name));
        if (!found) {
            String remedy = "Add the " + type + " or correct the name.";
            addFinding(object, path, "refers to unknown " + type + " \"" + name + "\"", remedy);
        }
    }

    private void checkMinimum(String object, String path, long value, long minimum) {
        if (value < minimum) {
            addFinding(object, path, "is " + value, "Use at least " + minimum + ".");
        }
    }

    private void addFinding(String object, String path, String problem, String remedy) {
        mFindings.add(new Finding(object, path, problem + ".", remedy));
    }
}
