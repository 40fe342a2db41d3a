package org.jackdawsaddle.pgm;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import java.util.function.Consumer;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Marker;
import org.apache.logging.log4j.message.MapMessage;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.simple.SimpleLogger;
import org.apache.logging.log4j.util.PropertiesUtil;
import org.apache.logging.log4j.util.StringBuilders;

/** Formats messages as the JSON lines that LogTemplate.json describes. */
final class JsonLineLogger extends SimpleLogger {
    private static final long serialVersionUID = 1;
    private static final int MILLIS_DIGITS = 3;
    private static final DateTimeFormatter TIME_FORMAT =
            new DateTimeFormatterBuilder().appendInstant(MILLIS_DIGITS).toFormatter();

    private final transient Consumer<String> mOutput;

    /**
     * Creates a logger.
     *
     * @param output receives the lines, each with its line separator
     */
    JsonLineLogger(String name, Level level, MessageFactory factory, Consumer<String> output) {
        super(
                name,
                level,
                false,
                false,
                false,
                false,
                "",
                factory,
                PropertiesUtil.getProperties(),
                System.out);
        mOutput = output;
    }

    @Override
    public void logMessage(
            String fqcn, Level level, Marker marker, Message message, Throwable failure) {
        mOutput.accept(format(Instant.now(), level, message, failure));
    }

    /** Returns the line for a message; the failure may be null. */
    String format(Instant time, Level level, Message message, Throwable failure) {
        StringBuilder line = new StringBuilder("{\"time\":\"");
        TIME_FORMAT.formatTo(time, line);
        line.append('"');
        appendText(line, "level", level.name());
        appendText(line, "logger", getName());
        appendText(line, "thread", Thread.currentThread().getName());
        appendMessage(line, message);
        if (failure != null) {
            appendText(line, "error", stackTrace(failure));
        }
        return line.append('}').append(System.lineSeparator()).toString();
    }

    private static void appendMessage(StringBuilder line, Message message) {
        if (message instanceof MapMessage<?, ?> fields) {
            line.append(",\"message\":");
            fields.formatTo(new String[] {MapMessage.MapFormat.JSON.name()}, line);
        } else {
            appendText(line, "message", message.getFormattedMessage());
        }
    }

    private static void appendText(StringBuilder line, String field, String text) {
        line.append(",\"").append(field).append("\":\"");
        int start = line.length();
        line.append(text);
        StringBuilders.escapeJson(line, start);
        line.append('"');
    }

    private static String stackTrace(Throwable failure) {
        StringWriter trace = new StringWriter();
        failure.printStackTrace(new PrintWriter(trace));
        return trace.toString();
    }
}
