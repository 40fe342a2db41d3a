package org.jackdawsaddle.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jackdawsaddle.internal.log.Event;

/** What became of one job, from the logs of all processes: what was decided, when, on what. */
public final class JobStory {
    /** What the answer was. */
    public enum Verdict {
        IN_TIME,
        LATE,
        FAILED,
        REFUSED,
        ABANDONED,
        /** No line tells the answer: it is not out yet, or the line was left out under load. */
        UNKNOWN
    }

    /** The events that tell what a process came to believe, without naming a job. */
    static final Set<String> BELIEFS =
            Stream.of(
                            Event.STARTED,
                            Event.STOPPED,
                            Event.LEAVING,
                            Event.SIDECAR_CONNECTED,
                            Event.SIDECAR_LOST,
                            Event.SIDECAR_GONE,
                            Event.TARGET_FOUND,
                            Event.TARGET_SILENT,
                            Event.TARGET_BARRED,
                            Event.RUNS_LOST,
                            Event.STORE_LOST,
                            Event.STORE_FOUND,
                            Event.CONFIGURATION_APPLIED)
                    .map(Event::logName)
                    .collect(Collectors.toUnmodifiableSet());

    /** What went on this long before a job may still bear on it: longer than any lease. */
    private static final Duration BEFORE = Duration.ofSeconds(3);

    private static final String TARGET = "target";
    private static final String SIDECAR = "sidecar";

    private final List<LogLine> mOwn;
    private final List<LogLine> mLines;

    JobStory(String job, List<LogLine> collected) {
        List<LogLine> lines =
                collected.stream().sorted(Comparator.comparing(LogLine::time)).toList();
        mOwn = lines.stream().filter(line -> line.speaksOf(job)).toList();
        mLines = mOwn.isEmpty() ? List.of() : withBackground(lines);
    }

    private List<LogLine> withBackground(List<LogLine> lines) {
        Instant from = begin().minus(BEFORE);
        Instant to = mOwn.get(mOwn.size() - 1).time();
        Set<String> concerned = concerned(lines);
        return lines.stream()
                .filter(line -> mOwn.contains(line) || concerns(line, concerned))
                .filter(line -> !line.time().isBefore(from) && !line.time().isAfter(to))
                .toList();
    }

    /** Returns the names of the processes and targets that had to do with the job. */
    private Set<String> concerned(List<LogLine> lines) {
        Set<String> names = new HashSet<>();
        for (LogLine line : mOwn) {
            names.add(line.process());
            line.field(TARGET).ifPresent(names::add);
            names.addAll(line.members("targets"));
        }
        for (LogLine line : lines) {
            if (line.field(TARGET).filter(names::contains).isPresent()) {
                line.field(SIDECAR).ifPresent(names::add);
                if (line.event().equals(Event.TARGET_FOUND.logName())) {
                    names.add(line.process());
                }
            }
        }
        return names;
    }

    private static boolean concerns(LogLine line, Set<String> names) {
        Optional<String> object = line.field(TARGET).or(() -> line.field(SIDECAR));
        return object.map(names::contains).orElse(false)
                || object.isEmpty() && names.contains(line.process());
    }

    /** Returns when the job arrived, as far as the lines tell. */
    private Instant begin() {
        Instant first = mOwn.get(0).time();
        return answer().flatMap(
                        line -> line.field("ms").map(ms -> line.time().minusMillis(number(ms))))
                .filter(arrived -> arrived.isBefore(first))
                .orElse(first);
    }

    private Optional<LogLine> answer() {
        return mOwn.stream()
                .filter(line ->
                        line.event().equals(Event.JOB_ENDED.logName())
                                || line.event().equals(Event.JOB_REFUSED.logName()))
                .reduce((first, second) -> second);
    }

    /** Returns what the last answer was. */
    public Verdict verdict() {
        return answer().map(JobStory::verdict).orElse(Verdict.UNKNOWN);
    }

    private static Verdict verdict(LogLine answer) {
        return switch (answer.field("answer").orElse("")) {
            case "succeeded" -> late(answer) ? Verdict.LATE : Verdict.IN_TIME;
            case "failed" -> Verdict.FAILED;
            case "refused" -> Verdict.REFUSED;
            case "abandoned" -> Verdict.ABANDONED;
            default -> Verdict.UNKNOWN;
        };
    }

    private static boolean late(LogLine answer) {
        Optional<String> wanted = answer.field("wanted_ms");
        return wanted.isPresent()
                && answer.field("ms").filter(ms -> number(ms) > number(wanted.get())).isPresent();
    }

    private static long number(String text) {
        return Long.parseLong(text);
    }

    /** Returns the lines of the job, and those that tell what had to do with it, by their times. */
    public List<LogLine> lines() {
        return mLines;
    }

    /** Returns the story as text: one line for each line of a log, then the verdict. */
    public List<String> text() {
        List<String> text = new ArrayList<>();
        if (mOwn.isEmpty()) {
            return List.of("No line speaks of this job.");
        }
        Instant begin = begin();
        for (LogLine line : mLines) {
            text.add(
                    String.format(
                            "%s %+6d ms  %s %-20s %-22s %s",
                            line.time(),
                            Duration.between(begin, line.time()).toMillis(),
                            mOwn.contains(line) ? "*" : " ",
                            line.process(),
                            line.event(),
                            line.details()));
        }
        text.add(conclusion());
        return text;
    }

    private String conclusion() {
        String reason = answer().flatMap(line -> line.field("reason")).orElse("");
        String costs =
                mOwn.stream()
                        .filter(line -> !answer().filter(line::equals).isPresent())
                        .collect(
                                Collectors.groupingBy(
                                        LogLine::event, TreeMap::new, Collectors.counting()))
                        .entrySet()
                        .stream()
                        .map(cost -> cost.getValue() + " x " + cost.getKey())
                        .collect(Collectors.joining(", "));
        return "verdict: "
                + verdict()
                + (reason.isEmpty() ? "" : ", " + reason)
                + (costs.isEmpty() ? "" : "; on the way: " + costs);
    }
}
