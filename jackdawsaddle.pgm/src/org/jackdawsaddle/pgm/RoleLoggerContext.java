package org.jackdawsaddle.pgm;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.net.URI;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.simple.SimpleLoggerContext;
import org.apache.logging.log4j.spi.AbstractLogger;
import org.apache.logging.log4j.spi.ExtendedLogger;
import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.LoggerContextFactory;
import org.apache.logging.log4j.spi.LoggerRegistry;
import org.apache.logging.log4j.spi.Provider;
import org.apache.logging.log4j.spi.Terminable;

/**
 * The loggers of a role on the platform: JSON lines to standard output.
 *
 * <p>Log4j's own context loads all of its plugins at the start, which takes a fifth of the time in
 * which a role starts.
 */
final class RoleLoggerContext extends SimpleLoggerContext implements Terminable {
    private static final String PROJECT_LOGGER = "org.jackdawsaddle";

    private final LoggerRegistry<ExtendedLogger> mLoggers = new LoggerRegistry<>();
    private final LineWriter mWriter = new LineWriter(new FileOutputStream(FileDescriptor.out));

    RoleLoggerContext() {
        mWriter.start();
    }

    /** Makes this the context of all loggers; must be called before the first is created. */
    static void install() {
        System.setProperty(Provider.PROVIDER_PROPERTY_NAME, RoleProvider.class.getName());
        System.setProperty(
                "log4j.jul.LoggerAdapter", "org.apache.logging.log4j.jul.ApiLoggerAdapter");
    }

    /** Registers the context with Log4j, which creates it by the name of the class. */
    public static final class RoleProvider extends Provider {
        private static final int PRIORITY = 1;

        /** Creates the provider; called by Log4j. */
        public RoleProvider() {
            super(PRIORITY, CURRENT_VERSION, ContextFactory.class);
        }
    }

    /** Returns the only context of the process for all callers. */
    public static final class ContextFactory implements LoggerContextFactory {
        private final RoleLoggerContext mContext = new RoleLoggerContext();

        @Override
        public LoggerContext getContext(
                String callerClass, ClassLoader loader, Object external, boolean current) {
            return mContext;
        }

        @Override
        public LoggerContext getContext(
                String callerClass,
                ClassLoader loader,
                Object external,
                boolean current,
                URI configuration,
                String name) {
            return mContext;
        }

        /** Lets Log4j terminate the context, which writes the last lines. */
        @Override
        public boolean hasContext(String callerClass, ClassLoader loader, boolean current) {
            return true;
        }

        @Override
        public void removeContext(LoggerContext context) {
            // The context lasts as long as the process.
        }

        @Override
        public boolean isClassLoaderDependent() {
            return false;
        }
    }

    @Override
    public ExtendedLogger getLogger(String name) {
        return getLogger(name, null);
    }

    @Override
    public ExtendedLogger getLogger(String name, MessageFactory factory) {
        ExtendedLogger existing = mLoggers.getLogger(name, factory);
        if (existing != null) {
            AbstractLogger.checkMessageFactory(existing, factory);
            return existing;
        }
        Level level = name.startsWith(PROJECT_LOGGER) ? Level.INFO : Level.WARN;
        mLoggers.putIfAbsent(name, factory, new JsonLineLogger(name, level, factory, mWriter::add));
        return mLoggers.getLogger(name, factory);
    }

    @Override
    public boolean hasLogger(String name) {
        return mLoggers.hasLogger(name);
    }

    @Override
    public boolean hasLogger(String name, MessageFactory factory) {
        return mLoggers.hasLogger(name, factory);
    }

    @Override
    public boolean hasLogger(String name, Class<? extends MessageFactory> factoryClass) {
        return mLoggers.hasLogger(name, factoryClass);
    }

    /** Writes the lines that are buffered. */
    @Override
    public void terminate() {
        mWriter.stop();
    }

    /** Returns whether lines are still written. */
    boolean running() {
        return mWriter.running();
    }
}
