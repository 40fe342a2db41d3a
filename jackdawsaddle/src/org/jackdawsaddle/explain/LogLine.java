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

/** One structured line of a log: an event with its fields. */
public final class LogLine {
    private static final String EVENT = "event";

    /** Characters of a value that are shown; lists of runs can be long. */
    private static final int MAX_VALUE_CHARACTERS = 120;

    /** The form that the logs' layout gives a line; other fields are passed over. */
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
     * Reads a line as a process wrote it, or as a collector of logs passed it on with the name of
     * the process as the last word before it.
     *
     * @param process the process that is taken to have written it where the line does not say so
     * @return empty if this is no line of an event
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
            // Text of another writer that happens to look alike.
            return Optional.empty();
        }
    }

    /** Returns when it was written, by the clock of its process. */
    public Instant time() {
        return mTime;
    }

    /** Returns the process that wrote it. */
    public String process() {
        return mProcess;
    }

    /** Returns the name of its event. */
    public String event() {
        return mFields.get(EVENT);
    }

    /** Returns a field. */
    public Optional<String> field(String name) {
        return Optional.ofNullable(mFields.get(name));
    }

    /** Returns the members of a field that holds a list. */
    List<String> listElements(String name) {
        return field(name)
                .map(list -> List.of(list.replaceAll("[\\[\\] ]", "").split(",")))
                .orElse(List.of());
    }

    /** Returns whether a field has a value that speaks of a job or of its tasks. */
    boolean mentions(String job) {
        return mFields.values().stream().anyMatch(value -> value.contains(job));
    }

    /** Returns all fields but the event, as name=value. */
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
