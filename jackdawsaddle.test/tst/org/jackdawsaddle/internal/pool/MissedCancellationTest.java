package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.testng.annotations.Test;

/**
 * Guards against a job that goes on although it was cancelled, as its entry was not connected to
 * the one that was asked to.
 */
public class MissedCancellationTest extends PoolEntryCoreTestBase {
    private static final String JOB = "00000000000000aa";
    private static final NodeId PEER = new NodeId("peer", 1);
    private static final PoolMessage CANCELLATION = new PoolMessage.JobCancellation(JOB);
    private static final long LONG_MILLIS = 60_000;

    @Test
    public void tellsAnEntryThatConnectsAfterTheCancelling() {
        cancel();
        connectPeer();
        assertEquals(cancellationsSent(), List.of(CANCELLATION));
    }

    /** The first message may have been lost with the connection. */
    @Test
    public void tellsAnEntryAgainThatConnectsAnew() {
        connectPeer();
        cancel();
        mCore.handle(new PoolEntryEvent.PeerLost(PEER), mNow);
        connectPeer();
        assertEquals(cancellationsSent(), List.of(CANCELLATION, CANCELLATION));
    }

    @Test
    public void forgetsACancellingAfterAWhile() {
        cancel();
        advance(LONG_MILLIS);
        connectPeer();
        assertEquals(cancellationsSent(), List.of());
    }

    private void cancel() {
        mCore.handle(new PoolEntryEvent.JobCancelled(JOB), mNow);
        collectActions();
    }

    private void connectPeer() {
        mCore.handle(new PoolEntryEvent.PeerConnected(PEER), mNow);
        collectActions();
    }

    private List<PoolMessage> cancellationsSent() {
        return mSentToPeers.stream().filter(PoolMessage.JobCancellation.class::isInstance).toList();
    }
}
