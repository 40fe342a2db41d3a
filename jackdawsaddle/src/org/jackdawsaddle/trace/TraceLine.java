package org.jackdawsaddle.trace;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;

/**
 * A line of a trace after the header: an event, the actions since the last line with actions, or
 * expected counter values. Only one of the three is present.
 *
 * @param at the time of the event in milliseconds since the epoch
 * @param event the event
 * @param actions all actions that the events since the last line with actions must produce
 * @param counters the expected counter values by counter name
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record TraceLine(
        long at, JsonNode event, List<JsonNode> actions, Map<String, Long> counters) {}
