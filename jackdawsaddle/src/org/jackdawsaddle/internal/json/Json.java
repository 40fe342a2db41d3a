package org.jackdawsaddle.internal.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Writes and reads the JSON exchanged between processes. Unknown fields are ignored, because newer
 * versions may add some.
 */
public final class Json {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private Json() {}

    /**
     * Serializes a value.
     *
     * @throws IllegalArgumentException if the value has a type without JSON form
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /**
     * Deserializes a value.
     *
     * @throws IllegalArgumentException if the text is not valid JSON of the given type
     */
    public static <T> T read(String text, Class<T> type) {
        try {
            return MAPPER.readValue(text, type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("Not valid JSON of type " + type.getSimpleName(), e);
        }
    }
}
