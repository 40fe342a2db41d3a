package org.jackdawsaddle.trace;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.jackdawsaddle.errors.RequestInvalidException;
import org.jackdawsaddle.internal.dispatch.EntryCore;
import org.jackdawsaddle.internal.dispatch.EntryCounter;
import org.jackdawsaddle.internal.dispatch.EntryEvent;
import org.jackdawsaddle.internal.sidecar.SidecarCore;
import org.jackdawsaddle.internal.sidecar.SidecarCounter;
import org.jackdawsaddle.internal.sidecar.SidecarEvent;

/**
 * Replays the events of a trace on a new core and compares the actions that it produces, and its
 * counters, with those in the trace.
 */
public final class TraceReplay {
    /**
     * The first difference between the replay and the trace.
     *
     * @param lineNumber the number of the trace line, starting at 1
     * @param expected the action in the trace as JSON, or "nothing" if it has no more; for a
     *     counter its name and value
     * @param actual the action or counter of the replay in the same form
     */
    public record Difference(int lineNumber, String expected, String actual) {}

    /** The core of either role, to which the events of a trace are applied. */
    private sealed interface ReplayedCore {
        /** Handles an event at the given time in milliseconds since the epoch. */
        void handle(JsonNode event, long now);

        List<?> actions();

        long counterValue(String counter);
    }

    private record ReplayedEntryCore(EntryCore core) implements ReplayedCore {
        @Override
        public void handle(JsonNode event, long now) {
            core.handle(TraceFormat.read(event, EntryEvent.class), now);
        }

        @Override
        public List<?> actions() {
            return core.actions();
        }

        @Override
        public long counterValue(String counter) {
            return core.counterValue(EntryCounter.valueOf(counter));
        }
    }

    private record ReplayedSidecarCore(SidecarCore core) implements ReplayedCore {
        @Override
        public void handle(JsonNode event, long now) {
            core.handle(TraceFormat.read(event, SidecarEvent.class), now);
        }

        @Override
        public List<?> actions() {
            return core.actions();
        }

        @Override
        public long counterValue(String counter) {
            return core.counterValue(SidecarCounter.valueOf(counter));
        }
    }

    private final ReplayedCore mCore;
    private final List<JsonNode> mUncomparedActions = new ArrayList<>();

    private TraceReplay(ReplayedCore core) {
        mCore = core;
    }

    /**
     * Replays a trace. Actions that the replay produces after the last line with actions are not
     * compared.
     *
     * @param lines the lines of the trace, the header first
     * @return the first difference, or empty if every line with actions or counter values matches
     * @throws RequestInvalidException if the trace is empty or a line is malformed
     * @throws IllegalArgumentException if a line names an unknown counter
     * @throws NullPointerException if a line has no event, no actions and no counter values
     */
    public static Optional<Difference> run(List<String> lines) {
        if (lines.isEmpty()) {
            throw new RequestInvalidException(
                    "trace: has no lines; the first line must be the header");
        }
        TraceReplay replay =
                new TraceReplay(create(TraceFormat.read(lines.getFirst(), TraceHeader.class)));
        for (int index = 1; index < lines.size(); index++) {
            TraceLine line = TraceFormat.read(lines.get(index), TraceLine.class);
            Optional<Difference> difference = replay.step(index + 1, line);
            if (difference.isPresent()) {
                return difference;
            }
        }
        return Optional.empty();
    }

    private static ReplayedCore create(TraceHeader header) {
        return switch (header) {
            // Any seed will do: no decision depends on the random source.
            case TraceHeader.OfEntry entry ->
                    new ReplayedEntryCore(
                            new EntryCore(
                                    entry.self(),
                                    entry.layout(),
                                    entry.queueOrder(),
                                    new Random(0)));
            case TraceHeader.OfSidecar sidecar ->
                    new ReplayedSidecarCore(
                            new SidecarCore(
                                    sidecar.self(), sidecar.dataCentre(), sidecar.startedAt()));
        };
    }

    /** Applies the event of a line, or compares its actions or counter values. */
    private Optional<Difference> step(int lineNumber, TraceLine line) {
        if (line.event() != null) {
            mCore.handle(line.event(), line.at());
            return Optional.empty();
        }
        mCore.actions().forEach(action -> mUncomparedActions.add(TraceFormat.toTree(action)));
        if (line.counters() != null) {
            return compareCounters(lineNumber, line.counters());
        }
        List<JsonNode> actual = List.copyOf(mUncomparedActions);
        mUncomparedActions.clear();
        return compareActions(lineNumber, line.actions(), actual);
    }

    private static Optional<Difference> compareActions(
            int lineNumber, List<JsonNode> expected, List<JsonNode> actual) {
        for (int index = 0; index < Math.max(expected.size(), actual.size()); index++) {
            String expectedAction =
                    index < expected.size() ? expected.get(index).toString() : "nothing";
            String actualAction = index < actual.size() ? actual.get(index).toString() : "nothing";
            if (!expectedAction.equals(actualAction)) {
                return Optional.of(new Difference(lineNumber, expectedAction, actualAction));
            }
        }
        return Optional.empty();
    }

    private Optional<Difference> compareCounters(int lineNumber, Map<String, Long> expected) {
        for (Map.Entry<String, Long> counter : expected.entrySet()) {
            long actual = mCore.counterValue(counter.getKey());
            if (actual != counter.getValue()) {
                return Optional.of(
                        new Difference(
                                lineNumber,
                                counter.getKey() + " " + counter.getValue(),
                                counter.getKey() + " " + actual));
            }
        }
        return Optional.empty();
    }
}
