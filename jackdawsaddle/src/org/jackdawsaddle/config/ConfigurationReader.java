package org.jackdawsaddle.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.jackdawsaddle.internal.json.StrictJson;

/** Reads configuration objects from JSON files and merges them into one set. */
public final class ConfigurationReader {
    private final List<ConfigurationSet> mSets = new ArrayList<>();
    private final List<Finding> mFindings = new ArrayList<>();

    /** Reads another file; {@link #findings} reports the errors in it. */
    public void read(Path file) {
        try {
            String text = Files.readString(file);
            List<StrictJson.Problem> problems = StrictJson.problems(text, ConfigurationSet.class);
            problems.forEach(problem -> mFindings.add(finding(file, problem)));
            if (problems.isEmpty()) {
                mSets.add(StrictJson.read(text, ConfigurationSet.class));
            }
        } catch (IOException e) {
            String remedy = "Specify a readable file in UTF-8.";
            mFindings.add(
                    new Finding(
                            "file " + file, "", "cannot be read or is not UTF-8 text.", remedy));
        }
    }

    private static Finding finding(Path file, StrictJson.Problem problem) {
        return new Finding(
                "file " + file,
                problem.path(),
                problem.problem() + ".",
                "Correct the field; docs/OPERATIONS.md lists all fields.");
    }

    /** Returns the merged objects of the files that were read without findings. */
    public ConfigurationSet set() {
        return new ConfigurationSet(
                concatenate(ConfigurationSet::services),
                concatenate(ConfigurationSet::targets),
                concatenate(ConfigurationSet::jobKinds),
                concatenate(ConfigurationSet::limits),
                concatenate(ConfigurationSet::teams));
    }

    /** Returns the findings of all files or, if there are none, those of the merged set. */
    public List<Finding> findings() {
        List<Finding> findings = new ArrayList<>(mFindings);
        if (findings.isEmpty()) {
            findings.addAll(ConfigurationChecker.check(set()));
        }
        return findings;
    }

    private <T> List<T> concatenate(Function<ConfigurationSet, List<T>> objectsOf) {
        return mSets.stream().flatMap(set -> objectsOf.apply(set).stream()).toList();
    }
}
