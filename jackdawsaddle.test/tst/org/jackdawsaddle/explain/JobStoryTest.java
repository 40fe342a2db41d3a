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

/** What is told of a job from the logs of several processes. */
public class JobStoryTest {
    private static final String JOB = "00000000000000aa";
    private static final String ENDED =
            line(
                    "10.500",
                    "job-ended",
                    "\"job\":\""
                            + JOB
                            + "\",\"answer\":\"succeeded\",\"ms\":\"500\","
                            + "\"wanted_ms\":\"200\",\"targets\":\"[t-1, t-2]\",\"reason\":\"\"");

    @Test
    public void putsTheLinesOfAllProcessesInTheOrderOfTime() throws IOException {
        Path folder = Files.createTempDirectory("logs");
        Files.writeString(folder.resolve("entry-1.log"), ENDED + "\n");
        Files.write(
                folder.resolve("side-1.log"),
                List.of(
                        line("09.000", "target-found", "\"target\":\"t-1\""),
                        "no line of an event",
                        line("10.200", "runs-lost", "\"runs\":\"[Run[task=" + JOB + ".0.0.1]]\"")));
        LogCollector collector = new LogCollector(JOB);
        collector.readAll(folder);
        JobStory story = collector.story();
        assertEquals(story.verdict(), JobStory.Verdict.LATE);
        assertEquals(
                story.lines().stream().map(LogLine::process).toList(),
                List.of("side-1", "side-1", "entry-1"));
        assertTrue(story.text().get(1).contains("+200 ms"), story.text().toString());
        assertTrue(story.text().get(3).contains("1 x runs-lost"), story.text().toString());
    }

    @Test
    public void takesTheProcessFromTheWordBeforeALine() {
        JobStory story = story("12.3 entry-7 " + ENDED);
        assertEquals(story.lines().get(0).process(), "entry-7");
    }

    @Test
    public void leavesOutWhatHadNothingToDoWithTheJob() {
        JobStory story =
                story(
                        "entry-1 " + ENDED,
                        "side-1 " + line("10.100", "target-found", "\"target\":\"t-1\""),
                        "side-1 " + line("10.110", "stopped", "\"sidecar\":\"side-1\""),
                        "side-9 " + line("10.100", "target-found", "\"target\":\"t-9\""),
                        "entry-1 " + line("10.100", "sidecar-lost", "\"sidecar\":\"side-9\""),
                        "entry-1 " + line("10.100", "store-lost", "\"reason\":\"x\""),
                        "entry-1 " + line("02.100", "store-found", ""));
        assertEquals(
                story.lines().stream().map(LogLine::event).sorted().toList(),
                List.of("job-ended", "stopped", "store-lost", "target-found"));
    }

    @Test
    public void saysWhyAJobWasRefused() {
        JobStory story =
                story(
                        line(
                                "10.000",
                                "job-refused",
                                "\"job\":\""
                                        + JOB
                                        + "\",\"answer\":\"refused\","
                                        + "\"reason\":\"overloaded\""));
        assertEquals(story.verdict(), JobStory.Verdict.REFUSED);
        assertTrue(story.text().get(1).contains("overloaded"));
    }

    @Test
    public void saysThatNothingIsKnown() {
        JobStory story = story(line("10.000", "started", "\"entry\":\"e\""));
        assertEquals(story.verdict(), JobStory.Verdict.UNKNOWN);
        assertTrue(story.lines().isEmpty());
        assertFalse(story.text().isEmpty());
    }

    private static JobStory story(String... lines) {
        LogCollector collector = new LogCollector(JOB);
        collector.read("all", Stream.of(lines));
        return collector.story();
    }

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
