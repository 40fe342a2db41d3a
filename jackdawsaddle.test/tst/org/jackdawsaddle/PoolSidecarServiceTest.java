package org.jackdawsaddle;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.pool.PoolSidecarConfig;
import org.jackdawsaddle.pool.TargetGateway;
import org.jackdawsaddle.pool.TargetIncarnation;
import org.jackdawsaddle.pool.TargetStore;
import org.testng.annotations.Test;

/** Tests what a sidecar does when calls to its target fail in unexpected ways. */
public class PoolSidecarServiceTest {
    private static final long WAIT_SECONDS = 10;
    private static final long LEASE_MILLIS = 1_000;

    /** Throws at the first poll, and fails the future of the second one. */
    private static final class FailingGateway implements TargetGateway {
        private final AtomicInteger mPolls = new AtomicInteger();
        private final CountDownLatch mThirdPoll = new CountDownLatch(3);

        @Override
        public CompletableFuture<StartReply> start(
                TargetIncarnation target,
                String task,
                int run,
                String payload,
                long leaseUntil,
                long fencingToken) {
            return CompletableFuture.completedFuture(StartReply.REFUSED);
        }

        @Override
        public CompletableFuture<Boolean> stop(
                TargetIncarnation target, String task, int run, long fencingToken) {
            return CompletableFuture.completedFuture(false);
        }

        @Override
        public CompletableFuture<PollReply> poll(
                TargetIncarnation target,
                Optional<Long> leaseUntil,
                long ackCursor,
                long waitMillis,
                long fencingToken) {
            mThirdPoll.countDown();
            IllegalStateException failure = new IllegalStateException("expected by the test");
            if (mPolls.incrementAndGet() == 1) {
                throw failure;
            }
            return CompletableFuture.failedFuture(failure);
        }
    }

    /** Saves nothing. */
    private static final class EmptyStore implements TargetStore {
        @Override
        public CompletableFuture<Optional<TargetIncarnation>> load() {
            return CompletableFuture.completedFuture(Optional.empty());
        }

        @Override
        public CompletableFuture<Boolean> save(TargetIncarnation target) {
            return CompletableFuture.completedFuture(false);
        }
    }

    @Test
    public void pollsAgainAfterPollsThatFailUnexpectedly() throws InterruptedException {
        FailingGateway gateway = new FailingGateway();
        PoolSidecarService sidecar =
                new PoolSidecarService(
                        new PoolSidecarConfig("sidecar", "here", List.of(), LEASE_MILLIS),
                        gateway,
                        new EmptyStore(),
                        new UnixClock());
        sidecar.start();
        sidecar.announce(
                new TargetIncarnation(
                        "target",
                        5,
                        1,
                        "ledger",
                        "127.0.0.1:1",
                        new Demand(8, 500, 0),
                        List.of(),
                        false,
                        0));
        boolean polled = gateway.mThirdPoll.await(WAIT_SECONDS, TimeUnit.SECONDS);
        sidecar.stop();
        assertTrue(polled, "polls: " + gateway.mPolls);
    }
}
