package org.jackdawsaddle.pgm;

import java.nio.file.Path;
import java.util.function.Function;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.Layout;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.appender.FileAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.Configuration;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.LoggerConfig;
import org.apache.logging.log4j.layout.template.json.JsonTemplateLayout;

/**
 * Configures logging as JSON lines, to standard output for a role on the platform and to a file for
 * the demo command. Lines are dropped if the output cannot keep up.
 *
 * <p>The configuration is built in code because parsing a file would delay a role's start.
 */
final class ProcessLogs {
    private static final String PROJECT_LOGGER = "org.jackdawsaddle";
    private static final String OUTPUT_APPENDER = "output";
    private static final int MAX_BUFFERED_LINES = 1_024;

    private ProcessLogs() {}

    /** Logs to standard output; must be called before the first logger is created. */
    static void installForRole() {
        Configurator.initialize(new LogConfiguration(ProcessLogs::standardOutput));
    }

    /**
     * Logs to {@link #demoFile}, so that the console shows the report alone; must be called before
     * the first logger is created.
     */
    static void installForDemo() {
        Configurator.initialize(new LogConfiguration(ProcessLogs::demoOutput));
    }

    /** Returns the log file of the demo command in this process. */
    static Path demoFile() {
        String name = "jackdawsaddle-demo-" + ProcessHandle.current().pid() + ".log";
        return Path.of(System.getProperty("java.io.tmpdir"), name);
    }

    private static Appender standardOutput(Configuration configuration) {
        return ConsoleAppender.newBuilder()
                .setName(OUTPUT_APPENDER)
                .setTarget(ConsoleAppender.Target.SYSTEM_OUT)
                .setConfiguration(configuration)
                .setLayout(layout(configuration))
                .build();
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
        private final transient Function<Configuration, Appender> mOutput;

        LogConfiguration(Function<Configuration, Appender> output) {
            super(null, ConfigurationSource.NULL_SOURCE);
            isShutdownHookEnabled = false;
            mOutput = output;
        }

        @Override
        protected void doConfigure() {
            Appender output = mOutput.apply(this);
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
