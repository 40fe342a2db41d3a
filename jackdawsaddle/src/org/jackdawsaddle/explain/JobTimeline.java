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

/**
 * The history of one job, assembled from the logs of all processes: the lines that mention the job,
 * those that report the state of the processes and targets involved, and the outcome.
 */
public final class JobTimeline {
    /** The outcome of the job according to its logged answer. */
    public enum Verdict {
        /** The job succeeded within its response time objective, or no objective was logged. */
        IN_TIME,
        /**
         * The job succeeded, but its response time, counted from its first request as far as the
         * entry that answered could tell, exceeded its objective.
         */
        LATE,
        /** A task failed as often as its queue allows, or the job could never run. */
        FAILED,
        /** The job was refused before any of its tasks started. */
        REFUSED,
        /** The job ended without a result, possibly after some tasks had run. */
        ABANDONED,
        /**
         * No answer is in the logs that were read: the job has not ended, or the line was dropped
         * under load.
         */
        UNKNOWN
    }

    /** The events of processes, targets, the store and the configuration shown around a job. */
    static final Set<String> STATE_EVENTS =
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
                            Event.PROCESS_LATE,
                            Event.STORE_LOST,
                            Event.STORE_FOUND,
                            Event.CONFIGURATION_APPLIED)
                    .map(Event::logName)
                    .collect(Collectors.toUnmodifiableSet());

    /**
     * How long before a job's arrival an event can still affect it; longer than the lease of a run,
     * by default 1 s.
     */
    private static final Duration CONTEXT_LEAD_TIME = Duration.ofSeconds(3);

    private static final String TARGET = "target";
    private static final String SIDECAR = "sidecar";

    private final List<LogLine> mJobLines;
    private final List<LogLine> mLines;

    JobTimeline(String jobId, List<LogLine> collected) {
        List<LogLine> lines =
                collected.stream().sorted(Comparator.comparing(LogLine::time)).toList();
        mJobLines = lines.stream().filter(line -> line.mentions(jobId)).toList();
        mLines = mJobLines.isEmpty() ? List.of() : withContext(lines);
    }

    private List<LogLine> withContext(List<LogLine> lines) {
        Instant from = arrivalTime().minus(CONTEXT_LEAD_TIME);
        Instant to = mJobLines.get(mJobLines.size() - 1).time();
        Set<String> related = relatedNames(lines);
        return lines.stream()
                .filter(line -> mJobLines.contains(line) || isRelated(line, related))
                .filter(line -> !line.time().isBefore(from) && !line.time().isAfter(to))
                .toList();
    }

    /** Returns the names of the processes and targets involved in the job. */
    private Set<String> relatedNames(List<LogLine> lines) {
        Set<String> names = new HashSet<>();
        for (LogLine line : mJobLines) {
            names.add(line.process());
            line.field(TARGET).ifPresent(names::add);
            names.addAll(line.listElements("targets"));
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

    private static boolean isRelated(LogLine line, Set<String> names) {
        Optional<String> object = line.field(TARGET).or(() -> line.field(SIDECAR));
        return object.map(names::contains).orElse(false)
                || object.isEmpty() && names.contains(line.process());
    }

    /**
     * Returns when the job arrived at the entry that answered it: the time of the answer minus the
     * response time, or the time of the first line if that is earlier or no answer was logged.
     */
    private Instant arrivalTime() {
        Instant first = mJobLines.get(0).time();
        return answerLine()
                .flatMap(line ->
                        line.field("ms").map(ms -> line.time().minusMillis(parseMillis(ms))))
                .filter(arrived -> arrived.isBefore(first))
                .orElse(first);
    }

    private Optional<LogLine> answerLine() {
        return mJobLines.stream()
                .filter(line ->
                        line.event().equals(Event.JOB_ENDED.logName())
                                || line.event().equals(Event.JOB_REFUSED.logName()))
                .reduce((first, second) -> second);
    }

    /** Returns the outcome according to the last answer that was logged. */
    public Verdict verdict() {
        return answerLine().map(JobTimeline::verdict).orElse(Verdict.UNKNOWN);
    }

    private static Verdict verdict(LogLine answer) {
        return switch (answer.field("answer").orElse("")) {
            case "succeeded" -> isLate(answer) ? Verdict.LATE : Verdict.IN_TIME;
            case "failed" -> Verdict.FAILED;
            case "refused" -> Verdict.REFUSED;
            case "abandoned" -> Verdict.ABANDONED;
            default -> Verdict.UNKNOWN;
        };
    }

    private static boolean isLate(LogLine answer) {
        Optional<String> objectiveMillis = answer.field("wanted_ms");
        long sentBeforeMillis =
                answer.field("sent_before_ms").map(JobTimeline::parseMillis).orElse(0L);
        return objectiveMillis.isPresent()
                && answer.field("ms")
                        .map(ms -> parseMillis(ms) + sentBeforeMillis)
                        .filter(millis -> millis > parseMillis(objectiveMillis.get()))
                        .isPresent();
    }

    private static long parseMillis(String text) {
        return Long.parseLong(text);
    }

    /** Returns the lines of the job and the related ones, in the order of time; may be empty. */
    public List<LogLine> lines() {
        return mLines;
    }

    /**
     * Returns the timeline as text: for each log line its time, the milliseconds since the arrival,
     * an asterisk if it mentions the job, the process, the event and its fields; then the verdict.
     */
    public List<String> text() {
        List<String> text = new ArrayList<>();
        if (mJobLines.isEmpty()) {
            return List.of("No log line mentions this job.");
        }
        Instant arrivalTime = arrivalTime();
        for (LogLine line : mLines) {
            text.add(
                    String.format(
                            "%s %+6d ms  %s %-20s %-22s %s",
                            line.time(),
                            Duration.between(arrivalTime, line.time()).toMillis(),
                            mJobLines.contains(line) ? "*" : " ",
                            line.process(),
                            line.event(),
                            line.details()));
        }
        text.add(summary());
        return text;
    }

    private String summary() {
        String reason = answerLine().flatMap(line -> line.field("reason")).orElse("");
        String eventCounts =
                mJobLines.stream()
                        .filter(line -> !answerLine().filter(line::equals).isPresent())
                        .collect(
                                Collectors.groupingBy(
                                        LogLine::event, TreeMap::new, Collectors.counting()))
                        .entrySet()
                        .stream()
                        .map(eventCount -> eventCount.getValue() + " x " + eventCount.getKey())
                        .collect(Collectors.joining(", "));
        return "verdict: "
                + verdict()
                + (reason.isEmpty() ? "" : ", " + reason)
                + (eventCounts.isEmpty() ? "" : "; on the way: " + eventCounts);
    }
}
