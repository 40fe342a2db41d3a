package org.jackdawsaddle.trace;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;

/**
 * A line of a trace after the first: an event, the actions since the last such line, or what
 * counters must say. Only one of the three is given.
 *
 * @param at the clock at the event, in milliseconds since the epoch
 * @param event the event
 * @param actions all actions that the events since the last such line must have led to
 * @param counters counters with their values
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record TraceLine(
        long at, JsonNode event, List<JsonNode> actions, Map<String, Long> counters) {}
