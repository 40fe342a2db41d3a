package org.jackdawsaddle.trace;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.util.List;
import org.jackdawsaddle.errors.RequestInvalidException;
import org.jackdawsaddle.internal.dispatch.EntryAction;
import org.jackdawsaddle.internal.dispatch.EntryEvent;
import org.jackdawsaddle.internal.message.Message;
import org.jackdawsaddle.internal.sidecar.SidecarAction;
import org.jackdawsaddle.internal.sidecar.SidecarEvent;

/**
 * Converts the lines of traces, and the events and actions in them, to and from JSON. Each header,
 * event, action and message has its type name in the field "type".
 */
public final class TraceFormat {
    private static final ObjectMapper MAPPER = new ObjectMapper().registerModule(new Jdk8Module());

    static {
        List.of(
                        EntryEvent.class,
                        EntryAction.class,
                        SidecarEvent.class,
                        SidecarAction.class,
                        Message.class,
                        TraceHeader.class)
                .forEach(TraceFormat::register);
    }

    /** Adds the name of the type to the JSON form of a class. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    private interface TypeNameMixIn {}

    private TraceFormat() {}

    /** Returns the value as a JSON tree. */
    public static JsonNode toTree(Object value) {
        return MAPPER.valueToTree(value);
    }

    /**
     * Returns the value as JSON text on one line.
     *
     * @throws IllegalArgumentException if the value has no JSON form
     */
    public static String toJsonLine(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /**
     * Parses a line of a trace.
     *
     * @throws RequestInvalidException if the line is not the JSON form of the type
     */
    public static <T> T read(String line, Class<T> type) {
        try {
            return MAPPER.readValue(line, type);
        } catch (JsonProcessingException e) {
            throw new RequestInvalidException("trace: " + e.getOriginalMessage());
        }
    }

    /**
     * Parses an event.
     *
     * @throws RequestInvalidException if the tree is not the JSON form of the type
     */
    static <T> T read(JsonNode tree, Class<T> type) {
        try {
            return MAPPER.treeToValue(tree, type);
        } catch (JsonProcessingException e) {
            throw new RequestInvalidException("trace: " + e.getOriginalMessage());
        }
    }

    /** Makes the variants of a sealed type known to the mapper by their simple names. */
    private static void register(Class<?> type) {
        MAPPER.addMixIn(type, TypeNameMixIn.class);
        for (Class<?> variant : type.getPermittedSubclasses()) {
            if (variant.isSealed()) {
                register(variant);
            } else {
                MAPPER.registerSubtypes(new NamedType(variant, variant.getSimpleName()));
            }
        }
    }
}
