package org.jackdawsaddle.internal.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.stream.Collectors;
import org.jackdawsaddle.errors.RequestInvalidException;

/**
 * Reads JSON from outside the system, such as request bodies and configuration files: unknown
 * fields and type errors are reported with their path.
 */
public final class StrictJson {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    /** The path of the document as a whole. */
    static final String ROOT_PATH = "body";

    private StrictJson() {}

    /**
     * An error in a document.
     *
     * @param path the place of the error: field names and element indices, separated by dots
     * @param problem the description of the error
     */
    public record Problem(String path, String problem) {}

    /**
     * Deserializes a value.
     *
     * @throws RequestInvalidException with the path of the first error, or if the value is null
     */
    public static <T> T read(String json, Class<T> type) {
        ProblemCollector collector = new ProblemCollector();
        T value = parse(json, type, collector);
        if (!collector.problems().isEmpty()) {
            Problem first = collector.problems().get(0);
            throw new RequestInvalidException(first.path() + ": " + first.problem());
        }
        if (value == null) {
            throw new RequestInvalidException("body: must not be null");
        }
        return value;
    }

    /**
     * Returns the unknown fields and type errors in a document, up to the first place at which it
     * cannot be parsed.
     *
     * @param type the type that the document should have
     */
    public static List<Problem> problems(String json, Class<?> type) {
        ProblemCollector collector = new ProblemCollector();
        parse(json, type, collector);
        return List.copyOf(collector.problems());
    }

    private static <T> T parse(String json, Class<T> type, ProblemCollector collector) {
        try {
            return MAPPER.readerFor(type).withHandler(collector).readValue(json);
        } catch (JsonMappingException e) {
            collector.addProblem(path(e), e.getOriginalMessage());
        } catch (JsonProcessingException e) {
            collector.addProblem(ROOT_PATH, e.getOriginalMessage());
        }
        return null;
    }

    /** Serializes a value with indentation. */
    public static String pretty(Object value) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }

    private static String path(JsonMappingException e) {
        String path =
                e.getPath().stream()
                        .map(step ->
                                step.getFieldName() == null
                                        ? "[" + step.getIndex() + "]"
                                        : step.getFieldName())
                        .collect(Collectors.joining("."));
        return path.isEmpty() ? ROOT_PATH : path;
    }
}
