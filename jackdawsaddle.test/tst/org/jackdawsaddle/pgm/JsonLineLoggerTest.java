package org.jackdawsaddle.pgm;

import static org.testng.Assert.assertEquals;

import java.time.Instant;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.config.DefaultConfiguration;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.layout.template.json.JsonTemplateLayout;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.SimpleMessage;
import org.apache.logging.log4j.message.StringMapMessage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the roles' log lines are those of the template that other commands use. */
public class JsonLineLoggerTest {
    private static final String NAME = "org.jackdawsaddle.Name";
    private static final long WHOLE_SECOND_MILLIS = 1_780_000_000_000L;

    @DataProvider
    public Object[][] messages() {
        Message fields = new StringMapMessage().with("event", "opened").with("a", "\"\\\n\u0001é");
        Message text = new SimpleMessage("first\tline\r\n\u2028\"second\"");
        return new Object[][] {
            {fields, WHOLE_SECOND_MILLIS, null},
            {fields, WHOLE_SECOND_MILLIS + 7, null},
            {text, WHOLE_SECOND_MILLIS + 120, null},
            {text, WHOLE_SECOND_MILLIS + 999, new IllegalStateException("outer", new Error("in"))},
        };
    }

    @Test(dataProvider = "messages")
    public void writesTheLinesOfTheTemplate(Message message, long millis, Throwable failure) {
        LogEvent event =
                Log4jLogEvent.newBuilder()
                        .setLoggerName(NAME)
                        .setLevel(Level.WARN)
                        .setThreadName(Thread.currentThread().getName())
                        .setMessage(message)
                        .setTimeMillis(millis)
                        .setThrown(failure)
                        .build();
        JsonTemplateLayout template =
                JsonTemplateLayout.newBuilder()
                        .setConfiguration(new DefaultConfiguration())
                        .setEventTemplateUri("classpath:LogTemplate.json")
                        .build();
        JsonLineLogger logger = new JsonLineLogger(NAME, Level.INFO, null, line -> {});
        assertEquals(
                logger.format(Instant.ofEpochMilli(millis), Level.WARN, message, failure),
                template.toSerializable(event));
    }
}
