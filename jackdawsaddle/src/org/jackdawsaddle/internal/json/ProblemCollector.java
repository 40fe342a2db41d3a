package org.jackdawsaddle.internal.json;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonStreamContext;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.deser.DeserializationProblemHandler;
import com.fasterxml.jackson.databind.util.ClassUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Collects unknown fields and type errors during deserialization instead of failing on the first.
 */
final class ProblemCollector extends DeserializationProblemHandler {
    private final List<StrictJson.Problem> mProblems = new ArrayList<>();

    List<StrictJson.Problem> problems() {
        return mProblems;
    }

    @Override
    public boolean handleUnknownProperty(
            DeserializationContext context,
            JsonParser parser,
            JsonDeserializer<?> deserializer,
            Object beanOrClass,
            String name)
            throws IOException {
        addProblem(parser, "unknown field");
        parser.skipChildren();
        return true;
    }

    @Override
    public Object handleWeirdStringValue(
            DeserializationContext context, Class<?> type, String value, String failure) {
        addProblem(context.getParser(), "\"" + value + "\" is not of type " + type.getSimpleName());
        return defaultValue(type);
    }

    @Override
    public Object handleUnexpectedToken(
            DeserializationContext context,
            JavaType type,
            JsonToken token,
            JsonParser parser,
            String failure)
            throws IOException {
        addProblem(parser, "is not of type " + type.getRawClass().getSimpleName());
        parser.skipChildren();
        return defaultValue(type.getRawClass());
    }

    private static Object defaultValue(Class<?> type) {
        return type.isPrimitive() ? ClassUtil.defaultValue(type) : null;
    }

    private void addProblem(JsonParser parser, String problem) {
        addProblem(path(parser.getParsingContext()), problem);
    }

    /** Adds a problem at a path. */
    void addProblem(String path, String problem) {
        mProblems.add(new StrictJson.Problem(path, problem));
    }

    private static String path(JsonStreamContext innermost) {
        Deque<String> steps = new ArrayDeque<>();
        for (JsonStreamContext at = innermost; at != null; at = at.getParent()) {
            if (at.inObject() && at.hasCurrentName()) {
                steps.push(at.getCurrentName());
            } else if (at.inArray() && at.hasCurrentIndex()) {
                steps.push("[" + at.getCurrentIndex() + "]");
            }
        }
        return steps.isEmpty() ? StrictJson.ROOT_PATH : String.join(".", steps);
    }
}
