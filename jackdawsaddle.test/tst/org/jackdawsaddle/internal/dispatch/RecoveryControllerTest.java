package org.jackdawsaddle.internal.dispatch;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.SidecarMessage;
import org.testng.annotations.Test;

/** Tests how {@link RecoveryController} learns the fate of tasks after a sidecar reconnects. */
public class RecoveryControllerTest extends EntryCoreTestBase {

    @Test
    public void forgetsAnInquiryWhoseConnectionWasLostBeforeItsAnswer() {
        NodeId one = startSidecar("one");
        submit("batch", 1);
        reconnect(one);
        reconnect(one);
        assertEquals(mInquiries.size(), 2);
        mStarts.clear();
        answerWithNothingKnown(one, mInquiries.get(0).number());
        assertEquals(unansweredStarts(one), 0, "the answer to the lost inquiry counts for nothing");
        answerWithNothingKnown(one, mInquiries.get(1).number());
        assertEquals(unansweredStarts(one), 1, "the start was not received, so it is repeated");
    }

    private void reconnect(NodeId sidecar) {
        handle(new EntryEvent.SidecarLost(sidecar));
        announce(sidecar, sidecar.name(), true);
        advance(200);
    }

    private void answerWithNothingKnown(NodeId sidecar, long number) {
        receive(sidecar, new SidecarMessage.InquiryAnswer(0, number, List.of()));
        advance(1_000);
    }
}
