package org.jackdawsaddle.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Tells two sets of objects apart. */
public final class ConfigurationDiff {

    private ConfigurationDiff() {}

    /** Returns one line for each object that was added, changed or removed. */
    public static List<String> lines(ConfigurationSet before, ConfigurationSet after) {
        List<String> lines = new ArrayList<>();
        compare("service", before.services(), after.services(), lines);
        compare("target", before.targets(), after.targets(), lines);
        compare("jobKind", before.jobKinds(), after.jobKinds(), lines);
        compare("limit", before.limits(), after.limits(), lines);
        compare("team", before.teams(), after.teams(), lines);
        return lines;
    }

    private static <T extends NamedObject> void compare(
            String type, List<T> before, List<T> after, List<String> lines) {
        Map<String, T> old = byName(before);
        Map<String, T> changed = byName(after);
        changed.forEach((name, object) -> {
            if (!old.containsKey(name)) {
                lines.add("+ " + type + " " + name + " " + object);
            } else if (!old.get(name).equals(object)) {
                lines.add("~ " + type + " " + name + " " + old.get(name) + " -> " + object);
            }
        });
        old.forEach((name, object) -> {
            if (!changed.containsKey(name)) {
                lines.add("- " + type + " " + name);
            }
        });
    }

    private static <T extends NamedObject> Map<String, T> byName(List<T> objects) {
        Map<String, T> named = new LinkedHashMap<>();
        objects.forEach(object -> named.put(object.name(), object));
        return named;
    }
}
