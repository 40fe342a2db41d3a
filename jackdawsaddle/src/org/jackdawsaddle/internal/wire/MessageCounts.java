package org.jackdawsaddle.internal.wire;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;
import org.jackdawsaddle.internal.runtime.MetricsRegistry;
import org.jackdawsaddle.internal.wire.proto.Wire.Envelope;

/**
 * Counts the messages that a process has queued for sending, and their bytes, by message type.
 * Thread-safe.
 */
public final class MessageCounts {
    private final Map<Envelope.BodyCase, LongAdder> mMessagesByType =
            new EnumMap<>(Envelope.BodyCase.class);
    private final Map<Envelope.BodyCase, LongAdder> mBytesByType =
            new EnumMap<>(Envelope.BodyCase.class);

    /** Creates counts that are all zero. */
    public MessageCounts() {
        for (Envelope.BodyCase type : Envelope.BodyCase.values()) {
            mMessagesByType.put(type, new LongAdder());
            mBytesByType.put(type, new LongAdder());
        }
    }

    void add(Envelope envelope) {
        mMessagesByType.get(envelope.getBodyCase()).increment();
        mBytesByType.get(envelope.getBodyCase()).add(envelope.getSerializedSize());
    }

    /** Returns the number of messages by type in lower case; types with none are omitted. */
    public Map<String, Long> messages() {
        return snapshot(mMessagesByType);
    }

    /**
     * Returns the number of bytes, without framing, by type in lower case; types with none are
     * omitted.
     */
    public Map<String, Long> bytes() {
        return snapshot(mBytesByType);
    }

    /** Registers the counts with the metrics of a process. */
    public void addTo(MetricsRegistry metrics) {
        metrics.counters("jackdawsaddle_messages_sent", "Messages by type", "type", this::messages);
        metrics.counters("jackdawsaddle_bytes_sent", "Bytes by type", "type", this::bytes);
    }

    private static Map<String, Long> snapshot(Map<Envelope.BodyCase, LongAdder> adders) {
        Map<String, Long> snapshot = new TreeMap<>();
        adders.forEach((type, adder) -> {
            if (adder.sum() > 0) {
                snapshot.put(type.name().toLowerCase(Locale.ROOT), adder.sum());
            }
        });
        return snapshot;
    }
}
