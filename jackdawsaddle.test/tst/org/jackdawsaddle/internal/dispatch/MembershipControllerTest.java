package org.jackdawsaddle.internal.dispatch;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.jackdawsaddle.NodeId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which peers {@link MembershipController} knows, and when it writes its own record. */
public class MembershipControllerTest {
    private static final NodeId SELF = new NodeId("self", 1);
    private static final NodeId PEER = new NodeId("peer", 1);

    private EntryState mState;
    private MembershipController mMembership;

    @BeforeMethod
    public void createController() {
        mState = new EntryState(record(SELF), new Random(1));
        mState.mNow = 1_800_000_000_000L;
        mMembership = new MembershipController(mState);
        mMembership.onTick();
    }

    @Test
    public void forgetsPeersThatNeverConnectedOnceTheirRecordsExpire() {
        for (int day = 0; day < 100; day++) {
            NodeId peer = new NodeId("peer-" + day, 1);
            mMembership.onEntryRecord(peer.name(), 2, Optional.of(record(peer)));
            mMembership.onEntryRecord(peer.name(), 0, Optional.empty());
        }
        assertEquals(mState.mPeers.size(), 0);
    }

    @Test
    public void keepsAConnectedPeerWhoseRecordHasExpired() {
        mMembership.onEntryRecord(PEER.name(), 2, Optional.of(record(PEER)));
        mMembership.onPeerConnected(PEER);
        mMembership.onEntryRecord(PEER.name(), 0, Optional.empty());
        assertEquals(mState.mPeers.keySet(), Set.of(PEER));
    }

    @Test
    public void writesNoRecordAgainOnceItHasLeft() {
        mMembership.onOwnRecordWritten(Optional.of(5L));
        mState.mLeaving = true;
        mMembership.leave();
        mState.mOutbox.drain();
        mMembership.onEntryRecord(SELF.name(), 0, Optional.empty());
        mMembership.onTick();
        assertEquals(mState.mOutbox.drain(), List.of(), "the record has expired as asked");
    }

    private static EntryRecord record(NodeId node) {
        return new EntryRecord(node, "127.0.0.1:1", "127.0.0.1:2", "here");
    }
}
