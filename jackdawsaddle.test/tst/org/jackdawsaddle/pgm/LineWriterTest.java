package org.jackdawsaddle.pgm;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Tests {@link LineWriter}. */
public class LineWriterTest {

    @Test
    public void writesBufferedLinesBeforeItStops() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        LineWriter writer = new LineWriter(output);
        writer.add("first\n");
        writer.start();
        writer.add("second\n");
        writer.stop();
        assertEquals(output.toString(StandardCharsets.UTF_8), "first\nsecond\n");
    }

    @Test
    public void dropsLinesThatDoNotFitInsteadOfBlocking() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        LineWriter writer = new LineWriter(output);
        for (int line = 0; line < 2_000; line++) {
            writer.add("line\n");
        }
        writer.start();
        writer.stop();
        assertEquals(output.toString(StandardCharsets.UTF_8).lines().count(), 1_024);
    }
}
