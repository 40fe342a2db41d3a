package org.jackdawsaddle;

import java.security.SecureRandom;
import java.util.List;
import java.util.Locale;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.pool.PoolDialer;
import org.jackdawsaddle.internal.pool.PoolSidecarAction;
import org.jackdawsaddle.internal.pool.PoolSidecarCore;
import org.jackdawsaddle.internal.pool.PoolSidecarCounter;
import org.jackdawsaddle.internal.pool.PoolSidecarEvent;
import org.jackdawsaddle.internal.pool.PoolTiming;
import org.jackdawsaddle.internal.runtime.ControlLoop;
import org.jackdawsaddle.internal.runtime.LatencyHistogram;
import org.jackdawsaddle.internal.runtime.MetricsRegistry;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.internal.wire.MessageCounts;
import org.jackdawsaddle.internal.wire.WireThreads;
import org.jackdawsaddle.pool.PoolSidecarConfig;
import org.jackdawsaddle.pool.TargetLife;
import org.jackdawsaddle.pool.TargetMemory;
import org.jackdawsaddle.pool.TargetPort;

/** A sidecar of a pool: the only process that gives orders to the target beside it. */
public final class PoolSidecarService implements ManagedService {
    private final UnixClock mClock;
    private final TargetPort mTarget;
    private final TargetMemory mMemory;
    private final LatencyHistogram mStartTimes =
            new LatencyHistogram(
                    "jackdawsaddle_start_seconds", "Time from an order to start to its answer");
    private final MessageCounts mCounts = new MessageCounts();
    private final NodeId mSelf;
    private final PoolSidecarCore mCore;
    private final ControlLoop mLoop;
    private final WireThreads mThreads;
    private final PoolDialer mDialer;
    private volatile boolean mServing;
    private volatile boolean mIdle = true;

    /** Creates a sidecar that is not running; its fence is the time of its creation. */
    public PoolSidecarService(
            PoolSidecarConfig config, TargetPort target, TargetMemory memory, UnixClock clock) {
        mClock = clock;
        mTarget = target;
        mMemory = memory;
        mSelf = new NodeId(config.name(), new SecureRandom().nextLong() >>> 1);
        mCore = new PoolSidecarCore(mSelf, config.dataCentre(), clock.now(), config.leaseMillis());
        mLoop =
                new ControlLoop(
                        "control",
                        () -> PoolTiming.TICK_MILLIS,
                        () -> handle(new PoolSidecarEvent.Tick()),
                        this::perform);
        mThreads = new WireThreads("wire", 1);
        mDialer = new PoolDialer("", config.seeds(), mLoop, new Dialled(), mThreads, mCounts);
    }

    @Override
    public void start() {
        mLoop.start();
        mMemory.recall()
                .thenAccept(life ->
                        life.ifPresent(known -> later(new PoolSidecarEvent.TargetRecalled(known))));
        mDialer.start();
        EventLog.line(Event.STARTED).with("sidecar", mSelf).write();
    }

    @Override
    public void stop() {
        mLoop.stop();
        mDialer.stop();
        mThreads.stop();
        EventLog.line(Event.STOPPED).with("sidecar", mSelf).write();
    }

    /** Takes no new tasks from now on; those in hand go on. */
    public void leave() {
        EventLog.line(Event.LEAVING).with("sidecar", mSelf).write();
        later(new PoolSidecarEvent.LeaveRequested());
    }

    /** Takes an announcement of the target. */
    public void announce(TargetLife life) {
        later(new PoolSidecarEvent.TargetAnnounced(life));
    }

    /** Takes note that the target has ended in order. */
    public void withdraw(String id) {
        later(new PoolSidecarEvent.TargetWithdrawn(id));
    }

    /** Returns whether no run is in hand. */
    public boolean idle() {
        return mIdle;
    }

    /** Keeps connections open to the entries at these addresses too, given as host:port. */
    public void connect(List<String> addresses) {
        mLoop.execute(() -> addresses.forEach(mDialer::connect));
    }

    /** Adds the metrics of the sidecar. */
    public void addMetrics(MetricsRegistry metrics) {
        for (PoolSidecarCounter counter : PoolSidecarCounter.values()) {
            String name = "jackdawsaddle_sidecar_" + counter.metricName();
            metrics.counter(name, "See docs/OPERATIONS.md", () -> mCore.counted(counter));
        }
        mCounts.addTo(metrics);
        mStartTimes.addTo(metrics);
        metrics.gauge("jackdawsaddle_serving", "1 if serving", () -> mServing ? 1 : 0);
    }

    private void later(PoolSidecarEvent event) {
        mLoop.execute(() -> handle(event));
    }

    private void handle(PoolSidecarEvent event) {
        mCore.handle(event, mClock.now());
    }

    private void perform() {
        mCore.actions().forEach(this::perform);
        mDialer.flush();
        mServing = mCore.serving();
        mIdle = mCore.idle();
    }

    private void perform(PoolSidecarAction action) {
        switch (action) {
            case PoolSidecarAction.SendToEntry send -> mDialer.send(send.entry(), send.message());
            case PoolSidecarAction.KeepTarget keep ->
                    mMemory.keep(keep.life())
                            .thenAccept(kept ->
                                    later(new PoolSidecarEvent.TargetKept(keep.life(), kept)));
            case PoolSidecarAction.DropEntry drop -> mDialer.drop(drop.entry());
            case PoolSidecarAction.StartRun start -> start(start);
            case PoolSidecarAction.StopRun stop ->
                    mTarget.stop(stop.life(), stop.run().task(), stop.run().run(), stop.fence())
                            .thenAccept(answered ->
                                    later(new PoolSidecarEvent.StopAnswered(stop.run(), answered)));
            case PoolSidecarAction.Poll poll ->
                    mTarget.poll(
                                    poll.life(),
                                    poll.leaseUntil(),
                                    poll.confirmed(),
                                    poll.waitMillis(),
                                    poll.fence())
                            .thenAccept(lists ->
                                    later(
                                            new PoolSidecarEvent.ListsAnswered(
                                                    poll.life(), poll.number(), lists)));
        }
    }

    private void start(PoolSidecarAction.StartRun start) {
        long sentAt = System.nanoTime();
        mTarget.start(
                        start.life(),
                        start.run().task(),
                        start.run().run(),
                        start.payload(),
                        start.leaseUntil(),
                        start.fence())
                .thenAccept(reply -> {
                    mStartTimes.observeSince(sentAt, reply.name().toLowerCase(Locale.ROOT));
                    later(new PoolSidecarEvent.StartAnswered(start.run(), reply));
                });
    }

    private final class Dialled implements PoolDialer.Listener {
        @Override
        public void connected(NodeId entry) {
            handle(new PoolSidecarEvent.EntryConnected(entry));
        }

        @Override
        public void lost(NodeId entry) {
            handle(new PoolSidecarEvent.EntryLost(entry));
        }

        @Override
        public void received(NodeId entry, PoolMessage message) {
            handle(new PoolSidecarEvent.EntrySent(entry, message));
        }

        @Override
        public void learned(String address) {
            EventLog.line(Event.ENTRY_FOUND).with("address", address).write();
        }
    }
}
