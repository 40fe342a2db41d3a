package org.jackdawsaddle.explain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Tests the timeline of a job that is assembled from the logs of several processes. */
public class JobTimelineTest {
    private static final String JOB_ID = "00000000000000aa";
    private static final String JOB_ENDED_LINE =
            line(
                    "10.500",
                    "job-ended",
                    "\"job\":\""
                            + JOB_ID
                            + "\",\"answer\":\"succeeded\",\"ms\":\"500\","
                            + "\"wanted_ms\":\"200\",\"targets\":\"[t-1, t-2]\",\"reason\":\"\"");

    @Test
    public void linesOfAllProcessesAreOrderedByTime() throws IOException {
        Path folder = Files.createTempDirectory("logs");
        Files.writeString(folder.resolve("entry-1.log"), JOB_ENDED_LINE + "\n");
        Files.write(
                folder.resolve("side-1.log"),
                List.of(
                        line("09.000", "target-found", "\"target\":\"t-1\""),
                        "no line of an event",
                        line(
                                "10.200",
                                "runs-lost",
                                "\"runs\":\"[Run[task=" + JOB_ID + ".0.0.1]]\"")));
        LogCollector collector = new LogCollector(JOB_ID);
        collector.readAll(folder);
        JobTimeline timeline = collector.timeline();
        assertEquals(timeline.verdict(), JobTimeline.Verdict.LATE);
        assertEquals(
                timeline.lines().stream().map(LogLine::process).toList(),
                List.of("side-1", "side-1", "entry-1"));
        assertTrue(timeline.text().get(1).contains("+200 ms"), timeline.text().toString());
        assertTrue(timeline.text().get(3).contains("1 x runs-lost"), timeline.text().toString());
    }

    @Test
    public void aJobSentBeforeIsLateByTheTimeSinceItsFirstRequest() {
        String line = JOB_ENDED_LINE.replace("\"wanted_ms\":\"200\"", "\"wanted_ms\":\"1000\"");
        assertEquals(timeline("entry-7 " + line).verdict(), JobTimeline.Verdict.IN_TIME);
        String resent = line.replace("\"ms\":\"500\"", "\"ms\":\"500\",\"sent_before_ms\":\"600\"");
        assertEquals(timeline("entry-7 " + resent).verdict(), JobTimeline.Verdict.LATE);
    }

    @Test
    public void wordBeforeALineNamesItsProcess() {
        JobTimeline timeline = timeline("12.3 entry-7 " + JOB_ENDED_LINE);
        assertEquals(timeline.lines().get(0).process(), "entry-7");
    }

    @Test
    public void unrelatedLinesAreLeftOut() {
        JobTimeline timeline =
                timeline(
                        "entry-1 " + JOB_ENDED_LINE,
                        "side-1 " + line("10.100", "target-found", "\"target\":\"t-1\""),
                        "side-1 " + line("10.110", "stopped", "\"sidecar\":\"side-1\""),
                        "side-9 " + line("10.100", "target-found", "\"target\":\"t-9\""),
                        "entry-1 " + line("10.100", "sidecar-lost", "\"sidecar\":\"side-9\""),
                        "entry-1 " + line("10.100", "store-lost", "\"reason\":\"x\""),
                        "entry-1 " + line("02.100", "store-found", ""));
        assertEquals(
                timeline.lines().stream().map(LogLine::event).sorted().toList(),
                List.of("job-ended", "stopped", "store-lost", "target-found"));
    }

    @Test
    public void reasonOfARefusalIsShown() {
        JobTimeline timeline =
                timeline(
                        line(
                                "10.000",
                                "job-refused",
                                "\"job\":\""
                                        + JOB_ID
                                        + "\",\"answer\":\"refused\","
                                        + "\"reason\":\"overloaded\""));
        assertEquals(timeline.verdict(), JobTimeline.Verdict.REFUSED);
        assertTrue(timeline.text().get(1).contains("overloaded"));
    }

    @Test
    public void jobWithoutLinesHasUnknownVerdict() {
        JobTimeline timeline = timeline(line("10.000", "started", "\"entry\":\"e\""));
        assertEquals(timeline.verdict(), JobTimeline.Verdict.UNKNOWN);
        assertTrue(timeline.lines().isEmpty());
        assertFalse(timeline.text().isEmpty());
    }

    private static JobTimeline timeline(String... lines) {
        LogCollector collector = new LogCollector(JOB_ID);
        collector.read("all", Stream.of(lines));
        return collector.timeline();
    }

    /** Returns a log line; the fields are JSON members without braces, or an empty string. */
    private static String line(String second, String event, String fields) {
        return "{\"time\":\"2026-01-01T00:00:"
                + second
                + "Z\",\"level\":\"INFO\",\"message\":{\"event\":\""
                + event
                + "\""
                + (fields.isEmpty() ? "" : ",")
                + fields
                + "}}";
    }
}
