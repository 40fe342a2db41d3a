package org.jackdawsaddle.internal.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Writes and reads the JSON that the system exchanges, stores and logs. Unknown fields are ignored,
 * because newer versions may add some.
 */
public final class Json {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private Json() {}

    /**
     * Serializes a value.
     *
     * @throws IllegalArgumentException if the value has a type that cannot be serialized
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
     * @throws IllegalArgumentException if the text is not JSON that can be read as the given type
     */
    public static <T> T read(String text, Class<T> type) {
        try {
            return MAPPER.readValue(text, type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    "Not the JSON form of type " + type.getSimpleName(), e);
        }
    }
}
