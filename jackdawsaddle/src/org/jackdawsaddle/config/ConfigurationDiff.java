package org.jackdawsaddle.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Compares two configuration sets. */
public final class ConfigurationDiff {

    private ConfigurationDiff() {}

    /** Returns one line for each object that was added (+), changed (~) or removed (-). */
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
        Map<String, T> beforeByName = byName(before);
        Map<String, T> afterByName = byName(after);
        afterByName.forEach((name, object) -> {
            if (!beforeByName.containsKey(name)) {
                lines.add("+ " + type + " " + name + " " + object);
            } else if (!beforeByName.get(name).equals(object)) {
                lines.add(
                        "~ " + type + " " + name + " " + beforeByName.get(name) + " -> " + object);
            }
        });
        beforeByName.forEach((name, object) -> {
            if (!afterByName.containsKey(name)) {
                lines.add("- " + type + " " + name);
            }
        });
    }

    private static <T extends NamedObject> Map<String, T> byName(List<T> objects) {
        Map<String, T> objectsByName = new LinkedHashMap<>();
        objects.forEach(object -> objectsByName.put(object.name(), object));
        return objectsByName;
    }
}
