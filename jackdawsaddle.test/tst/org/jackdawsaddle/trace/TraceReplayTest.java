package org.jackdawsaddle.trace;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.errors.RequestInvalidException;
import org.jackdawsaddle.internal.message.EntryMessage;
import org.jackdawsaddle.internal.sidecar.SidecarCore;
import org.jackdawsaddle.internal.sidecar.SidecarEvent;
import org.testng.annotations.Test;

/** Tests that a recorded trace replays without differences and that differences are reported. */
public class TraceReplayTest {
    private static final long NOW = 1_800_000_000_000L;
    private static final NodeId ENTRY = new NodeId("entry", 1);

    /** Records the trace of a sidecar and returns its lines, of which the last has actions. */
    private static List<String> recordTrace() throws IOException {
        Path file = Files.createTempFile("trace", ".jsonl");
        NodeId self = new NodeId("target", 1);
        TraceWriter writer = new TraceWriter(file, new TraceHeader.OfSidecar(self, "here", NOW));
        SidecarCore core = new SidecarCore(self, "here", NOW);
        writer.start();
        List<SidecarEvent> events =
                List.of(
                        new SidecarEvent.EntryConnected(ENTRY),
                        new SidecarEvent.EntrySent(ENTRY, new EntryMessage.Seal(0, 1)),
                        new SidecarEvent.EntrySent(ENTRY, new EntryMessage.RenewLease(0, 1, 5)));
        for (SidecarEvent event : events) {
            writer.writeEvent(NOW, event);
            core.handle(event, NOW);
            writer.writeActions(core.actions());
        }
        writer.stop();
        return Files.readAllLines(file);
    }

    @Test
    public void recordedTraceReplaysWithoutDifference() throws IOException {
        List<String> lines = new ArrayList<>(recordTrace());
        lines.add("{\"counters\":{\"SEALS\":1}}");
        assertEquals(TraceReplay.run(lines), Optional.empty());
    }

    @Test
    public void firstDifferenceIsReported() throws IOException {
        List<String> lines = new ArrayList<>(recordTrace());
        int changedIndex = lines.size() - 1;
        lines.set(changedIndex, lines.get(changedIndex).replace("\"sentAt\":5", "\"sentAt\":6"));
        TraceReplay.Difference difference = TraceReplay.run(lines).orElseThrow();
        assertEquals(difference.lineNumber(), changedIndex + 1);
        assertTrue(difference.expected().contains("\"sentAt\":6"), difference.expected());
    }

    @Test
    public void wrongCounterIsReported() throws IOException {
        List<String> lines = new ArrayList<>(recordTrace());
        lines.add("{\"counters\":{\"SEALS\":2}}");
        assertEquals(TraceReplay.run(lines).orElseThrow().actual(), "SEALS 1");
    }

    @Test
    public void malformedTraceIsRejected() {
        expectThrows(RequestInvalidException.class, () -> TraceReplay.run(List.of("{}")));
        expectThrows(RequestInvalidException.class, () -> TraceReplay.run(List.of()));
    }
}
