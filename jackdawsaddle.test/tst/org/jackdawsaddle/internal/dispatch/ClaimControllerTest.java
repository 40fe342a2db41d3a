package org.jackdawsaddle.internal.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.store.StoreValue;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when an entry claims a partition from another entry. */
public class ClaimControllerTest {
    private static final NodeId OWNER = new NodeId("owner", 1);

    private EntryCore mCore;
    private long mNow = 1_800_000_000_000L;

    @BeforeMethod
    public void discoverOwner() {
        EntryRecord self = new EntryRecord(new NodeId("self", 1), "a:1", "a:2", "here");
        mCore = new EntryCore(self, new Layout(1), QueueOrder.FIRST_COME, new Random(1));
        handle(new EntryEvent.Tick());
        EntryRecord owner = new EntryRecord(OWNER, "b:1", "b:2", "here");
        PartitionRecord partition = new PartitionRecord(0, 1, OWNER, List.of());
        handle(
                new EntryEvent.StoreRead(
                        List.of(
                                new StoreValue(StoreKeys.LAYOUT, 1, "{\"partitions\":1}"),
                                new StoreValue(StoreKeys.entry("owner"), 2, Json.write(owner)),
                                new StoreValue(StoreKeys.partition(0), 3, Json.write(partition)))));
    }

    @Test
    public void ownerThatIsNotYetConnectedIsNotReplacedBeforeTheTimeout() {
        assertEquals(
                advanceAndCountClaims(1_500), 0, "claims while the connection is being opened");
        assertTrue(advanceAndCountClaims(1_500) > 0, "claims after the timeout for silent peers");
    }

    @Test
    public void ownerThatLostItsConnectionIsReplacedAfterTheDisconnectedTimeout() {
        handle(new EntryEvent.PeerConnected(OWNER));
        handle(new EntryEvent.PeerLost(OWNER));
        assertTrue(
                advanceAndCountClaims(600) > 0, "claims after the timeout for disconnected peers");
    }

    /** Advances the time tick by tick; returns the number of claims made meanwhile. */
    private int advanceAndCountClaims(long durationMillis) {
        int claims = 0;
        for (long end = mNow + durationMillis; mNow < end; mNow += Timing.TICK_MILLIS) {
            claims += handle(new EntryEvent.Tick());
        }
        return claims;
    }

    /** Handles an event; returns the number of partition records to write because of it. */
    private int handle(EntryEvent event) {
        mCore.handle(event, mNow);
        return (int)
                mCore.actions().stream()
                        .filter(EntryAction.WriteStore.class::isInstance)
                        .map(action -> ((EntryAction.WriteStore) action).key())
                        .filter(StoreKeys::isPartition)
                        .count();
    }
}
