package org.jackdawsaddle.explain;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.jackdawsaddle.internal.json.Json;

/** A log line that reports an event and its fields in JSON. */
public final class LogLine {
    private static final String EVENT = "event";

    /** Longer values, such as lists of runs, are truncated for display. */
    private static final int MAX_VALUE_CHARACTERS = 120;

    /** The JSON form of a log line as defined by LogTemplate.json; other fields are ignored. */
    private record JsonLine(
            @JsonProperty("time") String time,
            @JsonProperty("message") Map<String, String> message) {}

    private final Instant mTime;
    private final String mProcess;
    private final Map<String, String> mFields;

    private LogLine(Instant time, String process, Map<String, String> fields) {
        mTime = time;
        mProcess = process;
        mFields = new TreeMap<>(fields);
    }

    /**
     * Parses a line as a process wrote it, or as a log shipper passed it on with the name of the
     * process as the last word before the JSON object.
     *
     * @param process the name of the process if no word precedes the JSON object
     * @return the line, or empty if it does not report an event
     */
    public static Optional<LogLine> read(String process, String text) {
        int start = text.indexOf('{');
        if (start < 0 || !text.contains("\"" + EVENT + "\"")) {
            return Optional.empty();
        }
        String[] prefixWords = text.substring(0, start).strip().split("\\s+");
        String lastWord = prefixWords[prefixWords.length - 1];
        try {
            JsonLine body = Json.read(text.substring(start), JsonLine.class);
            Instant time = Instant.parse(body.time());
            return Optional.of(
                    new LogLine(time, lastWord.isEmpty() ? process : lastWord, body.message()));
        } catch (IllegalArgumentException | DateTimeParseException e) {
            // Other output, or a log line without an event, that contains the word.
            return Optional.empty();
        }
    }

    /** Returns when the line was written, by the clock of its process. */
    public Instant time() {
        return mTime;
    }

    /** Returns the name of the process that wrote the line. */
    public String process() {
        return mProcess;
    }

    /** Returns the name of the event. */
    public String event() {
        return mFields.get(EVENT);
    }

    /** Returns the value of a field, if the line has it. */
    public Optional<String> field(String name) {
        return Optional.ofNullable(mFields.get(name));
    }

    /** Returns the elements of a field of the form [A, B]; empty if the line has no such field. */
    List<String> listElements(String name) {
        return field(name)
                .map(list -> List.of(list.replaceAll("[\\[\\] ]", "").split(",")))
                .orElse(List.of());
    }

    /** Returns whether any value contains the id of the job, as names of its tasks do. */
    boolean mentions(String jobId) {
        return mFields.values().stream().anyMatch(value -> value.contains(jobId));
    }

    /** Returns all fields except the event as name=value, separated by spaces. */
    public String details() {
        return mFields.entrySet().stream()
                .filter(field -> !field.getKey().equals(EVENT))
                .map(field -> field.getKey() + "=" + truncate(field.getValue()))
                .collect(Collectors.joining(" "));
    }

    private static String truncate(String value) {
        return value.length() <= MAX_VALUE_CHARACTERS
                ? value
                : value.substring(0, MAX_VALUE_CHARACTERS) + "...";
    }
}
