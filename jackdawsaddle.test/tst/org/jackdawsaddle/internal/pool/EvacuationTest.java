package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.pool.Evacuation;
import org.testng.annotations.Test;

/** Tests when an entry puts an evacuation in force, and whom it tells. */
public class EvacuationTest extends PoolEntryCoreTestBase {
    private static final NodeId PEER = new NodeId("peer", 1);
    private static final Evacuation HERE = new Evacuation(7, Set.of("here"));

    private final List<PoolMessage.EvacuationPush> mPushes = new ArrayList<>();

    @Override
    void onSent(PoolEntryAction.SendToSidecar send) {
        super.onSent(send);
        if (send.message() instanceof PoolMessage.EvacuationPush push) {
            mPushes.add(push);
        }
    }

    private void read(Evacuation evacuation) {
        mPushes.clear();
        mCore.handle(new PoolEntryEvent.EvacuationRead(evacuation), mNow);
        collectActions();
    }

    private void receiveFromPeer(PoolMessage message) {
        mCore.handle(new PoolEntryEvent.PeerSent(PEER, message), mNow);
        collectActions();
    }

    @Test
    public void placesNothingInAnEvacuatedDataCentre() {
        read(HERE);
        submit("aa", 1, 4);
        assertEquals(mOrders.size(), 0);
        assertFalse(mCore.ready(), "no other data centre has a sidecar");
        assertEquals(mPushes.size(), 2, "both sidecars are told at once");
        read(new Evacuation(8, Set.of()));
        tick();
        assertEquals(mOrders.size(), 1);
    }

    @Test
    public void leavesActiveRunsButRetriesElsewhere() {
        submit("aa", 1, 4);
        read(HERE);
        assertEquals(mOrderedStops, List.of());
        report(mOrders.get(0), ReportKind.FAILED);
        tick();
        assertEquals(mOrders.size(), 1, "the retry waits for another data centre");
    }

    @Test
    public void ignoresAnUnknownDataCentre() {
        read(new Evacuation(7, Set.of("nowhere")));
        submit("aa", 1, 4);
        assertEquals(mOrders.size(), 1);
    }

    @Test
    public void learnsFromAPeerWhatItCannotRead() {
        mCore.handle(new PoolEntryEvent.PeerConnected(PEER), mNow);
        receiveFromPeer(new PoolMessage.EvacuationPush(HERE));
        submit("aa", 1, 4);
        assertEquals(mOrders.size(), 0);
    }

    @Test
    public void correctsAPeerThatHasMissedTheEnd() {
        read(HERE);
        read(new Evacuation(8, Set.of()));
        mCore.handle(new PoolEntryEvent.PeerConnected(PEER), mNow);
        receiveFromPeer(new PoolMessage.EvacuationPush(HERE));
        assertEquals(mCore.evacuation().revision(), 8);
        mSentToPeers.clear();
        receiveFromPeer(new PoolMessage.Ping(1, false, 7));
        assertEquals(
                mSentToPeers, List.of(new PoolMessage.EvacuationPush(new Evacuation(8, Set.of()))));
    }

    /** A restarted entry that finds no request knows better than a peer that missed the end. */
    @Test
    public void trustsAnEmptyStoreMoreThanAnOlderRevision() {
        read(new Evacuation(9, Set.of()));
        assertEquals(mPushes.size(), 0, "nothing has changed");
        mCore.handle(new PoolEntryEvent.PeerConnected(PEER), mNow);
        receiveFromPeer(new PoolMessage.EvacuationPush(HERE));
        assertTrue(mCore.evacuation().dataCentres().isEmpty());
        mSentToPeers.clear();
        receiveFromPeer(new PoolMessage.Ping(1, false, 7));
        assertEquals(
                mSentToPeers, List.of(new PoolMessage.EvacuationPush(new Evacuation(9, Set.of()))));
    }

    @Test
    public void tellsASidecarThatConnectsLater() {
        read(HERE);
        mPushes.clear();
        connect(new NodeId("three", 1));
        assertEquals(mPushes, List.of(new PoolMessage.EvacuationPush(HERE)));
        submit("aa", 1, 4);
        assertEquals(mOrders.size(), 0);
    }
}
