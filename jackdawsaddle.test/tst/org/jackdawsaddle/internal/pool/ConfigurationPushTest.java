package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.pool.PoolConfiguration;
import org.jackdawsaddle.pool.PoolQueue;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests what quick changes of the configuration cost an entry of a large pool: each version goes to
 * a part of the sidecars, once.
 */
public class ConfigurationPushTest {
    private static final long LEASE_MILLIS = 1_000;
    private static final long RESEND_MILLIS = 1_300;
    private static final int ENTRIES = 15;
    private static final int SIDECARS = 80;
    private static final int VERSIONS = 10;
    private static final long VERSION_INTERVAL_MILLIS = 300;

    /** Together the entries should send about two copies to each sidecar. */
    private static final int MAX_PUSHES_OF_A_VERSION = 2 * SIDECARS / ENTRIES + 2;

    private final Map<NodeId, Integer> mPushes = new HashMap<>();
    private PoolEntryCore mCore;
    private long mNow;

    @BeforeMethod
    public void connectPool() {
        mPushes.clear();
        mNow = 1_000_000;
        mCore = new PoolEntryCore("entry-0", LEASE_MILLIS, RESEND_MILLIS, 0);
        configure(1);
        for (int peer = 1; peer < ENTRIES; peer++) {
            handle(new PoolEntryEvent.PeerConnected(new NodeId("entry-" + peer, 1)));
        }
        for (int sidecar = 0; sidecar < SIDECARS; sidecar++) {
            handle(
                    new PoolEntryEvent.SidecarAnnounced(
                            new PoolMessage.Hello(
                                    new NodeId("side-" + sidecar, 1),
                                    "here",
                                    "target-" + sidecar,
                                    "ledger",
                                    new Demand(64, 1_000, 0),
                                    List.of(),
                                    1,
                                    0)));
        }
        mPushes.clear();
    }

    @Test
    public void sendsEachVersionOnceToAPartOfTheSidecars() {
        for (int version = 2; version < 2 + VERSIONS; version++) {
            configure(version);
            mNow += VERSION_INTERVAL_MILLIS;
            handle(new PoolEntryEvent.Tick());
        }
        assertTrue(!mPushes.isEmpty() && mPushes.size() <= MAX_PUSHES_OF_A_VERSION, "" + mPushes);
        mPushes.values().forEach(count -> assertEquals((int) count, VERSIONS));
    }

    private void configure(long version) {
        PoolQueue queue = new PoolQueue("checks", "h", "/c/", "ledger", 0, 3, 1.6, 60, 1_500);
        handle(
                new PoolEntryEvent.ConfigurationRead(
                        new PoolConfiguration(version, List.of(queue))));
    }

    private void handle(PoolEntryEvent event) {
        mCore.handle(event, mNow);
        for (PoolEntryAction action : mCore.actions()) {
            if (action instanceof PoolEntryAction.SendToSidecar send
                    && send.message() instanceof PoolMessage.ConfigurationPush) {
                mPushes.merge(send.sidecar(), 1, Integer::sum);
            }
        }
    }
}
