package org.jackdawsaddle.internal.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.ConfigurationHead;
import org.jackdawsaddle.config.ConfigurationSet;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.config.JobKind;
import org.jackdawsaddle.config.LimitObject;
import org.jackdawsaddle.config.ServiceObject;
import org.jackdawsaddle.config.TeamObject;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.message.EntryMessage;
import org.jackdawsaddle.internal.message.SidecarMessage;
import org.jackdawsaddle.internal.message.StartTask;
import org.jackdawsaddle.internal.message.TaskKey;
import org.jackdawsaddle.internal.message.TaskResult;
import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.JobRequest;
import org.jackdawsaddle.job.SubmissionId;
import org.jackdawsaddle.job.TaskRequest;
import org.jackdawsaddle.store.StoreValue;
import org.testng.annotations.BeforeMethod;

/**
 * Drives the decision logic of one entry that owns the only partition. The sidecars confirm seals
 * and lease renewals at once; a test reports the results of tasks.
 */
public abstract class EntryCoreTestBase {
    static final Demand TARGET_CAPACITY = new Demand(8, 8_000, 1);
    static final int SLOTS = 2;
    private static final NodeId SELF = new NodeId("entry", 1);

    /** The answers to callers, by token. */
    final Map<Long, JobAnswer> mAnswers = new LinkedHashMap<>();

    /** By sidecar: the requested starts whose results have not been reported. */
    final Map<NodeId, List<StartTask>> mStarts = new LinkedHashMap<>();

    final List<TaskKey> mStops = new ArrayList<>();
    final List<EntryMessage.Inquiry> mInquiries = new ArrayList<>();
    final Random mRandom = new Random(1);
    EntryCore mCore;
    int mStopMessageCount;
    long mNow = 1_800_000_000_000L;
    private long mLastVersion = 1;
    private long mLastToken;

    @BeforeMethod
    public void startEntry() {
        mAnswers.clear();
        mStarts.clear();
        mStops.clear();
        mInquiries.clear();
        mStopMessageCount = 0;
        EntryRecord record = new EntryRecord(SELF, "127.0.0.1:1", "127.0.0.1:2", "here");
        mCore = new EntryCore(record, new Layout(1), QueueOrder.FIRST_COME, mRandom);
        handle(
                new EntryEvent.StoreRead(
                        List.of(new StoreValue(StoreKeys.LAYOUT, 1, "{\"partitions\":1}"))));
        publish(1, configurationSet(List.of(), 100));
        advance(100);
    }

    static ConfigurationSet configurationSet(List<LimitObject> limits, int queueTasks) {
        List<JobKind> kinds =
                List.of(
                        kind("batch", false, 160, Demand.NONE),
                        kind("read", true, 1, Demand.NONE),
                        kind("heavy", false, 10, new Demand(5, 100, 0)),
                        kind("huge", false, 1, new Demand(50, 100, 0)));
        return new ConfigurationSet(
                List.of(new ServiceObject("service", 1, queueTasks)),
                List.of(),
                kinds,
                limits,
                List.of(new TeamObject("team", 0), new TeamObject("small", 3)));
    }

    private static JobKind kind(String name, boolean idempotent, int maxTasks, Demand demand) {
        return new JobKind(name, "service", idempotent, maxTasks, 100, 10_000, demand);
    }

    void publish(long revision, ConfigurationSet set) {
        String json = Json.write(new ConfigurationHead(revision, set, List.of()));
        handle(
                new EntryEvent.StoreRead(
                        List.of(new StoreValue(StoreKeys.CONFIGURATION, ++mLastVersion, json))));
    }

    /** Starts a sidecar and advances the time until the entry may start tasks on it. */
    NodeId startSidecar(String target) {
        NodeId node = new NodeId(target, 1);
        announce(node, target, true);
        advance(200);
        return node;
    }

    void announce(NodeId node, String target, boolean serving) {
        handle(
                new EntryEvent.SidecarAnnounced(
                        new SidecarMessage.SidecarHello(
                                node,
                                target,
                                "service",
                                "here",
                                SLOTS,
                                64,
                                TARGET_CAPACITY,
                                serving,
                                mNow,
                                1,
                                false)));
    }

    long submit(String kind, int tasks) {
        return submit("team", kind, tasks, 0);
    }

    long submit(String team, String kind, int tasks, long deadline) {
        List<TaskRequest> list = new ArrayList<>();
        for (int index = 0; index < tasks; index++) {
            list.add(new TaskRequest("work", 100));
        }
        return submit(
                new JobRequest(SubmissionId.create(mNow, mRandom), team, kind, deadline, list));
    }

    long submit(JobRequest request) {
        mLastToken++;
        handle(new EntryEvent.CallerSubmitted(mLastToken, request));
        advance(Timing.TICK_MILLIS);
        return mLastToken;
    }

    /**
     * Reports the given result for every requested start of a sidecar that has none yet; returns
     * the number of tasks.
     */
    int endTasks(NodeId sidecar, TaskResult.State state, TaskResult.Refusal refusal) {
        List<StartTask> started = mStarts.getOrDefault(sidecar, new ArrayList<>());
        mStarts.put(sidecar, new ArrayList<>());
        for (StartTask start : started) {
            TaskResult result = new TaskResult(start.task(), state, "done", refusal, 100_000);
            receive(sidecar, new SidecarMessage.TaskResults(0, List.of(result)));
        }
        return started.size();
    }

    int completeTasks(NodeId sidecar) {
        return endTasks(sidecar, TaskResult.State.COMPLETED, TaskResult.Refusal.NONE);
    }

    int failTasks(NodeId sidecar) {
        return endTasks(sidecar, TaskResult.State.FAILED, TaskResult.Refusal.NONE);
    }

    int unansweredStarts(NodeId sidecar) {
        return mStarts.getOrDefault(sidecar, List.of()).size();
    }

    void receive(NodeId sidecar, SidecarMessage message) {
        handle(new EntryEvent.SidecarSent(sidecar, message));
    }

    /** Advances the time tick by tick. */
    void advance(long millis) {
        long end = mNow + millis;
        while (mNow < end) {
            mNow += Timing.TICK_MILLIS;
            handle(new EntryEvent.Tick());
        }
    }

    void handle(EntryEvent event) {
        mCore.handle(event, mNow);
        mCore.actions().forEach(this::perform);
    }

    private void perform(EntryAction action) {
        switch (action) {
            case EntryAction.AnswerCaller answer -> mAnswers.put(answer.token(), answer.answer());
            case EntryAction.WriteStore write ->
                    handle(new EntryEvent.StoreWritten(write.key(), Optional.of(++mLastVersion)));
            case EntryAction.SendToSidecar send -> onMessage(send.sidecar(), send.message());
            default -> {}
        }
    }

    private void onMessage(NodeId sidecar, EntryMessage message) {
        switch (message) {
            case EntryMessage.Seal seal ->
                    receive(sidecar, new SidecarMessage.Sealed(0, seal.epoch(), 0, 0));
            case EntryMessage.RenewLease renew ->
                    receive(
                            sidecar,
                            new SidecarMessage.LeaseRenewed(0, renew.epoch(), renew.sentAt()));
            case EntryMessage.StartTasks start ->
                    mStarts.computeIfAbsent(sidecar, key -> new ArrayList<>())
                            .addAll(start.tasks());
            case EntryMessage.Inquiry inquiry -> mInquiries.add(inquiry);
            case EntryMessage.StopTasks stop -> {
                mStopMessageCount++;
                mStops.addAll(stop.tasks());
            }
            default -> {}
        }
    }
}
