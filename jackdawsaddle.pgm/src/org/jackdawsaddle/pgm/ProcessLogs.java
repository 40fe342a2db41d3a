package org.jackdawsaddle.pgm;

import java.nio.file.Path;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.Layout;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.FileAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.Configuration;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.LoggerConfig;
import org.apache.logging.log4j.layout.template.json.JsonTemplateLayout;

/**
 * Configures the demo command's logging as JSON lines to a file. Lines are dropped if the output
 * cannot keep up.
 */
final class ProcessLogs {
    private static final String PROJECT_LOGGER = "org.jackdawsaddle";
    private static final String OUTPUT_APPENDER = "output";
    private static final int MAX_BUFFERED_LINES = 1_024;

    private ProcessLogs() {}

    /**
     * Logs to {@link #demoFile}, so that the console shows the report alone; must be called before
     * the first logger is created.
     */
    static void installForDemo() {
        Configurator.initialize(new LogConfiguration());
    }

    /** Returns the log file of the demo command in this process. */
    static Path demoFile() {
        String name = "jackdawsaddle-demo-" + ProcessHandle.current().pid() + ".log";
        return Path.of(System.getProperty("java.io.tmpdir"), name);
    }

    private static Appender demoOutput(Configuration configuration) {
        return FileAppender.newBuilder()
                .setName(OUTPUT_APPENDER)
                .withFileName(demoFile().toString())
                .setConfiguration(configuration)
                .setLayout(layout(configuration))
                .build();
    }

    private static Layout<?> layout(Configuration configuration) {
        return JsonTemplateLayout.newBuilder()
                .setConfiguration(configuration)
                .setEventTemplateUri("classpath:LogTemplate.json")
                .build();
    }

    /** Logs through an asynchronous appender that drops lines instead of blocking. */
    private static final class LogConfiguration extends AbstractConfiguration {
        LogConfiguration() {
            super(null, ConfigurationSource.NULL_SOURCE);
            isShutdownHookEnabled = false;
        }

        @Override
        protected void doConfigure() {
            Appender output = demoOutput(this);
            output.start();
            addAppender(output);
            Appender async =
                    AsyncAppender.newBuilder()
                            .setName("async")
                            .setConfiguration(this)
                            .setAppenderRefs(
                                    new AppenderRef[] {
                                        AppenderRef.createAppenderRef(OUTPUT_APPENDER, null, null)
                                    })
                            .setBlocking(false)
                            .setBufferSize(MAX_BUFFERED_LINES)
                            .build();
            addAppender(async);
            LoggerConfig root = this.getRootLogger();
            root.addAppender(async, null, null);
            root.setLevel(Level.WARN);
            addLogger(PROJECT_LOGGER, new LoggerConfig(PROJECT_LOGGER, Level.INFO, true));
        }
    }
}
