package org.jackdawsaddle.pgm;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.spi.LoggerContext;
import org.testng.annotations.Test;

/** Tests {@link RoleLoggerContext}. */
public class RoleLoggerContextTest {

    @Test
    public void logsDecisionsOfTheProjectAndWarningsOfLibraries() {
        LoggerContext context = new RoleLoggerContext();
        assertEquals(context.getLogger("org.jackdawsaddle.Name").getLevel(), Level.INFO);
        assertEquals(context.getLogger("io.netty.Name").getLevel(), Level.WARN);
    }

    @Test
    public void writesTheLastLinesWhenLog4jShutsDown() {
        RoleLoggerContext.ContextFactory factory = new RoleLoggerContext.ContextFactory();
        RoleLoggerContext context =
                (RoleLoggerContext) factory.getContext("caller", null, null, false);
        factory.shutdown("caller", null, false, false);
        assertFalse(context.running());
    }
}
