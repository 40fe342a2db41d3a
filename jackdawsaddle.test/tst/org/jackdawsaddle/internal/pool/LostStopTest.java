package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.pool.PoolAnswer;
import org.testng.annotations.Test;

/** Guards against runs that go on because their stop was lost in a connection that went silent. */
public class LostStopTest extends PoolEntryCoreTestBase {
    @Test
    public void repeatsAStopThatWasLostInASilentConnection() {
        submit("aa", 1, 4);
        Order order = mOrders.get(0);
        mCore.handle(new PoolEntryEvent.JobCancelled("aa"), mNow);
        collectActions();
        assertTrue(mAnswers.get(0) instanceof PoolAnswer.Abandoned);
        mOrderedStops.clear();
        reconnect(order.sidecar());
        assertEquals(mOrderedStops, List.of(order.run()));
    }

    @Test
    public void sendsAStopOnceThatWasRequestedWhileTheSidecarWasDisconnected() {
        submit("aa", 1, 4);
        Order order = mOrders.get(0);
        mCore.handle(new PoolEntryEvent.SidecarLost(order.sidecar()), mNow);
        mCore.handle(new PoolEntryEvent.JobCancelled("aa"), mNow);
        collectActions();
        assertEquals(mOrderedStops, List.of());
        connect(order.sidecar());
        assertEquals(mOrderedStops, List.of(order.run()));
    }

    @Test
    public void stopsNoRunOfAnActiveJobAfterAReconnection() {
        submit("aa", 1, 4);
        reconnect(mOrders.get(0).sidecar());
        assertEquals(mOrderedStops, List.of());
    }

    private void reconnect(NodeId sidecar) {
        mCore.handle(new PoolEntryEvent.SidecarLost(sidecar), mNow);
        collectActions();
        connect(sidecar);
    }
}
