package org.jackdawsaddle.internal.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.message.EntryMessage;
import org.jackdawsaddle.internal.message.EntryMessage.StartTasks;
import org.jackdawsaddle.internal.message.EntryMessage.StopTasks;
import org.jackdawsaddle.internal.message.PeerMessage;
import org.jackdawsaddle.internal.message.StartTask;
import org.jackdawsaddle.internal.message.TaskKey;
import org.jackdawsaddle.job.JobAnswer;

/**
 * Collects actions; the starts for one sidecar and partition are batched into one message, and so
 * are the stops.
 */
final class Outbox {
    private record BatchKey(NodeId sidecar, int partition, long epoch) {}

    private final List<EntryAction> mActions = new ArrayList<>();
    private final Map<BatchKey, List<StartTask>> mStarts = new LinkedHashMap<>();
    private final Map<BatchKey, List<TaskKey>> mStops = new LinkedHashMap<>();

    void answerCaller(long token, JobAnswer answer) {
        mActions.add(new EntryAction.AnswerCaller(token, answer));
    }

    void sendToSidecar(NodeId sidecar, EntryMessage message) {
        mActions.add(new EntryAction.SendToSidecar(sidecar, message));
    }

    void sendToPeer(NodeId peer, PeerMessage message) {
        mActions.add(new EntryAction.SendToPeer(peer, message));
    }

    void connect(NodeId peer, String address) {
        mActions.add(new EntryAction.ConnectPeer(peer, address));
    }

    void disconnect(NodeId peer) {
        mActions.add(new EntryAction.DisconnectPeer(peer));
    }

    void write(String key, long expectedVersion, Object value, Optional<Long> leaseMillis) {
        String json = Json.write(value);
        mActions.add(new EntryAction.WriteStore(key, expectedVersion, json, leaseMillis));
    }

    void read(String key) {
        mActions.add(new EntryAction.ReadStore(key));
    }

    void start(SidecarView sidecar, OwnedPartition partition, StartTask task) {
        mStarts.computeIfAbsent(batch(sidecar, partition), key -> new ArrayList<>()).add(task);
    }

    void stop(SidecarView sidecar, OwnedPartition partition, TaskKey task) {
        mStops.computeIfAbsent(batch(sidecar, partition), key -> new ArrayList<>()).add(task);
    }

    /**
     * Returns and removes all actions, the starts last. The stops are not included until {@link
     * #flushStops} is called.
     */
    List<EntryAction> drain() {
        mStarts.forEach((batch, tasks) ->
                sendToSidecar(
                        batch.sidecar(), new StartTasks(batch.partition(), batch.epoch(), tasks)));
        mStarts.clear();
        List<EntryAction> actions = List.copyOf(mActions);
        mActions.clear();
        return actions;
    }

    /**
     * Adds the collected stops to the actions, one message per sidecar and partition, so that many
     * cancellations need few messages.
     */
    void flushStops() {
        mStops.forEach((batch, tasks) ->
                sendToSidecar(
                        batch.sidecar(), new StopTasks(batch.partition(), batch.epoch(), tasks)));
        mStops.clear();
    }

    private static BatchKey batch(SidecarView sidecar, OwnedPartition partition) {
        return new BatchKey(sidecar.node(), partition.mIndex, partition.mEpoch);
    }
}
