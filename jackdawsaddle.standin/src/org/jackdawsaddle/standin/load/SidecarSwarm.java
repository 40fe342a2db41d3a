package org.jackdawsaddle.standin.load;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.dispatch.Timing;
import org.jackdawsaddle.internal.runtime.ControlLoop;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.internal.sidecar.SidecarAction;
import org.jackdawsaddle.internal.sidecar.SidecarConnections;
import org.jackdawsaddle.internal.sidecar.SidecarCore;
import org.jackdawsaddle.internal.sidecar.SidecarEvent;
import org.jackdawsaddle.internal.sidecar.SidecarEvent.TargetAnswered;
import org.jackdawsaddle.internal.wire.MessageCounts;
import org.jackdawsaddle.internal.wire.WireThreads;

/**
 * Many sidecars in one process, with the product's state machine and connections but without
 * targets: every task completes immediately. Serves to measure the load of a fleet on an entry.
 */
public final class SidecarSwarm implements ManagedService {
    private static final int IO_THREADS = 2;
    private static final long ANNOUNCE_INTERVAL_MILLIS = 2_000;
    private static final Demand MACHINE_CAPACITY = new Demand(64, 262_144, 2);

    private final UnixClock mClock;
    private final MessageCounts mMessageCounts = new MessageCounts();
    private final WireThreads mThreads = new WireThreads("swarm", IO_THREADS);
    private final ControlLoop mLoop;
    private final List<Member> mMembers = new ArrayList<>();
    private long mNextAnnounceAt;

    private final class Member {
        final SidecarCore mCore;
        final SidecarConnections mConnections;
        final SidecarEvent.Announcement mAnnouncement;

        Member(String name, SidecarEvent.Announcement announcement, List<String> entries) {
            NodeId self = new NodeId(name, new SecureRandom().nextLong() >>> 1);
            mCore = new SidecarCore(self, "swarm", mClock.now());
            mAnnouncement = announcement;
            mConnections =
                    new SidecarConnections(entries, mLoop, this::handle, mThreads, mMessageCounts);
        }

        void handle(SidecarEvent event) {
            mCore.handle(event, mClock.now());
        }

        void perform() {
            List<SidecarAction> actions = mCore.actions();
            if (!actions.isEmpty()) {
                actions.forEach(this::perform);
                mConnections.flush();
            }
        }

        private void perform(SidecarAction action) {
            switch (action) {
                case SidecarAction.SendToEntry send ->
                        mConnections.send(send.entry(), send.message());
                case SidecarAction.RunTask run ->
                        mLoop.execute(() ->
                                handle(
                                        new TargetAnswered(
                                                run.task().task(),
                                                TargetAnswered.Outcome.COMPLETED,
                                                "done",
                                                1)));
                case SidecarAction.StopTask stop -> {}
            }
        }
    }

    /**
     * Creates a swarm that is not running.
     *
     * @param sidecars the number of sidecars
     * @param service the service that all sidecars announce
     * @param slots the number of slots that each sidecar announces
     * @param entries the peer addresses of some entries, as host:port
     */
    public SidecarSwarm(
            int sidecars, String service, int slots, List<String> entries, UnixClock clock) {
        mClock = clock;
        mLoop =
                new ControlLoop(
                        "swarm", () -> Timing.SIDECAR_TICK_MILLIS, this::tick, this::perform);
        for (int index = 0; index < sidecars; index++) {
            String name = "swarm-" + index;
            SidecarEvent.Announcement announcement =
                    new SidecarEvent.Announcement(
                            name,
                            service,
                            "127.0.0.1:1",
                            slots,
                            slots,
                            MACHINE_CAPACITY,
                            Demand.NONE);
            mMembers.add(new Member(name, announcement, entries));
        }
    }

    @Override
    public void start() {
        mLoop.start();
        mMembers.forEach(member -> member.mConnections.start());
    }

    @Override
    public void stop() {
        mLoop.stop();
        mThreads.stop();
    }

    /** Returns the counts of messages sent by all sidecars together. */
    public MessageCounts messageCounts() {
        return mMessageCounts;
    }

    private void tick() {
        if (mClock.now() >= mNextAnnounceAt) {
            mNextAnnounceAt = mClock.now() + ANNOUNCE_INTERVAL_MILLIS;
            mMembers.forEach(member ->
                    member.handle(new SidecarEvent.TargetAnnounced(member.mAnnouncement)));
        }
    }

    private void perform() {
        mMembers.forEach(Member::perform);
    }
}
