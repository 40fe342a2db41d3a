package org.jackdawsaddle.internal.pool;

import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.target.SpeedModel;
import org.jackdawsaddle.pool.PoolConfiguration;

/**
 * All decisions of an entry in a pool, without threads, sockets or clocks.
 *
 * <p>It decides the jobs of the callers that are connected to it, and shares the targets with other
 * entries: sidecars tell all of them what room is left and refuse what does not fit.
 */
public final class PoolEntryCore {
    private final PoolBoard mBoard;
    private final JobController mJobs;
    private final SeatController mSeats;
    private final PeerController mPeers;

    /**
     * Creates the decisions of one entry.
     *
     * @param leaseMillis the longest lease that targets grant, in milliseconds
     * @param resendMillis how long a caller without an answer waits before it sends its job again
     */
    public PoolEntryCore(long leaseMillis, long resendMillis) {
        mBoard = new PoolBoard();
        SpeedModel speeds = new SpeedModel();
        Placement placement = new Placement(speeds);
        mJobs =
                new JobController(
                        mBoard, placement, new PoolAdmission(mBoard, placement), resendMillis);
        mSeats = new SeatController(mBoard, mJobs, speeds, leaseMillis);
        mPeers = new PeerController(mBoard);
    }

    /**
     * Takes one event.
     *
     * @param now the clock in milliseconds since the epoch, which never goes back
     */
    public void handle(PoolEntryEvent event, long now) {
        mBoard.at(now);
        switch (event) {
            case PoolEntryEvent.JobSubmitted submitted ->
                    mJobs.submit(submitted.token(), submitted.job());
            case PoolEntryEvent.JobCancelled cancelled -> mJobs.cancel(cancelled.id());
            case PoolEntryEvent.ConfigurationRead read ->
                    mPeers.onConfiguration(read.configuration(), "the store");
            case PoolEntryEvent.SidecarAnnounced announced -> onAnnounced(announced.hello());
            case PoolEntryEvent.SidecarLost lost -> mSeats.onLost(lost.sidecar());
            case PoolEntryEvent.SidecarSent sent -> onSidecarSent(sent.sidecar(), sent.message());
            case PoolEntryEvent.PeerConnected connected -> mPeers.onConnected(connected.peer());
            case PoolEntryEvent.PeerLost lost -> mPeers.onLost(lost.peer());
            case PoolEntryEvent.PeerAnswered answered ->
                    mPeers.onAnswered(answered.peer(), answered.message());
            case PoolEntryEvent.PeerSent sent -> mPeers.onSent(sent.peer(), sent.message());
            case PoolEntryEvent.Tick tick -> {
                mSeats.onTick();
                mPeers.onTick();
                mJobs.onTick();
            }
            case PoolEntryEvent.LeaveRequested leave -> mBoard.mLeaving = true;
        }
    }

    /** Returns the actions that the events since the last call have led to. */
    public List<PoolEntryAction> actions() {
        mBoard.flushStops();
        List<PoolEntryAction> actions = List.copyOf(mBoard.mActions);
        mBoard.mActions.clear();
        return actions;
    }

    /** Returns what a counter has counted. */
    public long counted(PoolEntryCounter counter) {
        return mBoard.counted(counter);
    }

    /** Returns how long tasks waited and runs took. */
    public TaskDurations durations() {
        return mBoard.mDurations;
    }

    /** Returns how long ago the sidecar was heard that was heard least lately, in milliseconds. */
    public long oldestViewMillis() {
        return mBoard.mSeats.values().stream()
                .filter(seat -> seat.mConnected)
                .mapToLong(seat -> mBoard.mNow - seat.mHeardAt)
                .max()
                .orElse(0);
    }

    /** Returns whether callers should be sent here. */
    public boolean ready() {
        return mBoard.mConfiguration.version() > 0
                && !mBoard.mLeaving
                && mBoard.mSeats.values().stream().anyMatch(SidecarSeat::serving);
    }

    /** Returns whether no caller waits for an answer. */
    public boolean idle() {
        return mBoard.mJobs.isEmpty();
    }

    /** Returns the configuration in force. */
    public PoolConfiguration configuration() {
        return mBoard.mConfiguration;
    }

    /** Returns how many jobs of a queue have not begun. */
    public long pendingJobs(String queue) {
        return mBoard.mJobs.values().stream()
                .filter(job -> job.mQueue.name().equals(queue))
                .filter(job -> !job.begun())
                .count();
    }

    private void onAnnounced(PoolMessage.Hello hello) {
        mSeats.onAnnounced(hello);
        mPeers.push(mBoard.mSeats.get(hello.sidecar()));
    }

    private void onSidecarSent(NodeId sidecar, PoolMessage message) {
        if (message instanceof PoolMessage.ConfigurationPush push) {
            mPeers.onConfiguration(
                    Json.read(push.text(), PoolConfiguration.class), sidecar.toString());
        } else {
            mSeats.onSent(sidecar, message);
        }
    }
}
