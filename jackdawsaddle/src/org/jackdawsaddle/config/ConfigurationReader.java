package org.jackdawsaddle.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.jackdawsaddle.internal.json.StrictJson;

/** Reads the objects of any number of JSON files into one set. */
public final class ConfigurationReader {
    private final List<ConfigurationSet> mParts = new ArrayList<>();
    private final List<Finding> mFindings = new ArrayList<>();

    /** Reads one more file; what is wrong with it becomes a finding. */
    public void read(Path file) {
        try {
            String text = Files.readString(file);
            List<StrictJson.Problem> problems = StrictJson.problems(text, ConfigurationSet.class);
            problems.forEach(problem -> mFindings.add(finding(file, problem)));
            if (problems.isEmpty()) {
                mParts.add(StrictJson.read(text, ConfigurationSet.class));
            }
        } catch (IOException e) {
            String remedy = "Name a readable file.";
            mFindings.add(new Finding("file " + file, "", "cannot be read.", remedy));
        }
    }

    private static Finding finding(Path file, StrictJson.Problem problem) {
        return new Finding(
                "file " + file,
                problem.path(),
                problem.problem() + ".",
                "Correct the field; docs/OPERATIONS.md lists all of them.");
    }

    /** Returns the objects of all files. */
    public ConfigurationSet set() {
        return new ConfigurationSet(
                all(ConfigurationSet::services),
                all(ConfigurationSet::targets),
                all(ConfigurationSet::jobKinds),
                all(ConfigurationSet::limits),
                all(ConfigurationSet::teams));
    }

    /** Returns the findings of all files and of the set as a whole. */
    public List<Finding> findings() {
        List<Finding> findings = new ArrayList<>(mFindings);
        if (findings.isEmpty()) {
            findings.addAll(ConfigurationChecker.check(set()));
        }
        return findings;
    }

    private <T> List<T> all(Function<ConfigurationSet, List<T>> part) {
        return mParts.stream().flatMap(set -> part.apply(set).stream()).toList();
    }
}
