package org.jackdawsaddle.platform;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.LoggerConfig;
import org.apache.logging.log4j.core.config.Property;
import org.apache.logging.log4j.layout.template.json.JsonTemplateLayout;

/** Captures the log lines of a test in memory, in the JSON format of the roles' logs. */
final class CapturedLog extends AbstractAppender {
    private final List<String> mLines = new CopyOnWriteArrayList<>();
    private Level mPreviousLevel;

    private CapturedLog(LoggerContext context) {
        super(
                "captured",
                null,
                JsonTemplateLayout.newBuilder()
                        .setConfiguration(context.getConfiguration())
                        .setEventTemplateUri("classpath:LogTemplate.json")
                        .build(),
                false,
                Property.EMPTY_ARRAY);
    }

    /** Starts to capture; until {@link #detach}, the lines are written nowhere else. */
    static CapturedLog attach() {
        LoggerContext context = (LoggerContext) LogManager.getContext(false);
        CapturedLog log = new CapturedLog(context);
        log.start();
        LoggerConfig logger = logger(context);
        log.mPreviousLevel = logger.getLevel();
        logger.setLevel(Level.INFO);
        logger.setAdditive(false);
        logger.addAppender(log, Level.INFO, null);
        context.updateLoggers();
        return log;
    }

    /** Stops capturing and restores the previous log configuration. */
    void detach() {
        LoggerContext context = (LoggerContext) LogManager.getContext(false);
        LoggerConfig logger = logger(context);
        logger.removeAppender(getName());
        logger.setAdditive(true);
        logger.setLevel(mPreviousLevel);
        context.updateLoggers();
    }

    private static LoggerConfig logger(LoggerContext context) {
        return context.getConfiguration().getLoggerConfig("org.jackdawsaddle");
    }

    @Override
    public void append(LogEvent event) {
        mLines.add(getLayout().toSerializable(event).toString());
    }

    /** Returns the lines captured so far, each a JSON object. */
    List<String> lines() {
        return mLines;
    }
}
