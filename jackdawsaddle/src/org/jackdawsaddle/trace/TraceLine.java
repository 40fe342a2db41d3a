package org.jackdawsaddle.trace;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;

/**
 * A line of a trace after the header: an event, the actions since the last line with actions, or
 * expected counter values. Exactly one of the three must be present. {@link TraceWriter} writes no
 * counter values; they can be added to a trace.
 *
 * @param at the time of the event in milliseconds since the epoch; 0 without an event
 * @param event the event, or null
 * @param actions all actions that the events since the last line with actions must produce, or null
 * @param counters the expected values of some counters by counter name, or null
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record TraceLine(
        long at, JsonNode event, List<JsonNode> actions, Map<String, Long> counters) {}
