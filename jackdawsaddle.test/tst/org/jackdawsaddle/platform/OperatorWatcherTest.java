package org.jackdawsaddle.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jackdawsaddle.internal.http.HttpClient;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.pool.Evacuation;
import org.jackdawsaddle.pool.PoolConfiguration;
import org.jackdawsaddle.standin.platform.KvStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that evacuations are read, and that no document in the store ends the watch. */
public class OperatorWatcherTest {
    private static final String ADDRESS = "127.85.0.1:18169";
    private static final String KEY = "op/config";
    private static final long TIMEOUT_SECONDS = 10;
    private static final int MUTATIONS = 200;

    /** Long enough for the watch to deliver each mutated document by itself. */
    private static final long MUTATION_INTERVAL_MILLIS = 10;

    private static final long SETTLE_MILLIS = 300;
    private static final long SEED = 1;

    /** Longer than a watch lasts. */
    private static final long WATCH_MILLIS = 2_200;

    private final UnixClock mClock = new UnixClock();
    private final BlockingQueue<PoolConfiguration> mApplied = new LinkedBlockingQueue<>();
    private final BlockingQueue<Evacuation> mEvacuations = new LinkedBlockingQueue<>();
    private KvStandIn mStore;
    private HttpClient mHttpClient;
    private OperatorWatcher mWatcher;

    @BeforeMethod
    public void startWatcher() throws InterruptedException {
        mApplied.clear();
        mEvacuations.clear();
        mStore = new KvStandIn(ADDRESS, mClock);
        mStore.start();
        mStore.put(KEY, document(1));
        mHttpClient = new HttpClient(mClock, 1);
        mHttpClient.start();
        mWatcher =
                new OperatorWatcher(
                        new KvStoreClient(mHttpClient, ADDRESS, mClock),
                        mApplied::add,
                        mEvacuations::add);
        mWatcher.start();
        awaitVersion(1);
    }

    @AfterMethod(alwaysRun = true)
    public void stopWatcher() {
        mWatcher.stop();
        mHttpClient.stop();
        mStore.stop();
    }

    @Test
    public void goesOnAfterADocumentWithARouteThatIsNull() throws InterruptedException {
        mStore.put(KEY, "{\"version\":2,\"routes\":[null]}");
        Thread.sleep(SETTLE_MILLIS);
        mStore.put(KEY, document(3));
        awaitVersion(3);
    }

    @Test
    public void ignoresKeysThatOnlyBeginLikeItsOwn() throws InterruptedException {
        mStore.put(KEY + "-old", document(9));
        mStore.put(KEY, document(3));
        awaitVersion(3);
    }

    @Test
    public void goesOnAfterMutatedDocuments() throws InterruptedException {
        Random random = new Random(SEED);
        for (int mutation = 0; mutation < MUTATIONS; mutation++) {
            mStore.put(KEY, mutate(document(2), random));
            Thread.sleep(MUTATION_INTERVAL_MILLIS);
        }
        mStore.put(KEY, document(1_000_000));
        awaitVersion(1_000_000);
    }

    @Test
    public void readsEvacuationsAndTheirEnd() throws InterruptedException {
        mStore.put("op/evacuate/west", "{}");
        awaitEvacuation(Set.of("west"));
        mStore.put("op/evacuate/east", "{]");
        awaitEvacuation(Set.of("west", "east"));
        mStore.delete("op/evacuate/west");
        awaitEvacuation(Set.of("east"));
    }

    @Test
    public void ignoresARequestWithoutADataCentre() throws InterruptedException {
        mStore.put("op/evacuate/", "{}");
        mStore.put("op/evacuate/west", "{}");
        awaitEvacuation(Set.of("west"));
    }

    /** The end of an evacuation may fall into a part of the history that is compacted. */
    @Test
    public void readsTheEndOfAnEvacuationAfterACompaction() throws InterruptedException {
        mStore.put("op/evacuate/west", "{}");
        awaitEvacuation(Set.of("west"));
        mStore.setFault(KvStandIn.Fault.REJECTING);
        Thread.sleep(WATCH_MILLIS);
        mStore.delete("op/evacuate/west");
        mStore.compactHistory();
        mStore.setFault(KvStandIn.Fault.NONE);
        awaitEvacuation(Set.of());
    }

    private void awaitEvacuation(Set<String> dataCentres) throws InterruptedException {
        Evacuation read = Evacuation.NONE;
        while (!read.dataCentres().equals(dataCentres) || read.revision() == 0) {
            read = mEvacuations.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertTrue(read != null, "not read: " + dataCentres);
        }
    }

    /** Replaces, removes or inserts a few characters of JSON syntax. */
    private static String mutate(String text, Random random) {
        List<String> pieces =
                List.of("null", "[", "]", "{", "}", ",", "-1", "\"", "1e99", "[null]");
        StringBuilder mutated = new StringBuilder(text);
        for (int change = 0; change < 1 + random.nextInt(3); change++) {
            int from = random.nextInt(mutated.length());
            int to = Math.min(mutated.length(), from + random.nextInt(12));
            mutated.replace(from, to, pieces.get(random.nextInt(pieces.size())));
        }
        return mutated.toString();
    }

    private static String document(long version) {
        return "{\"version\":"
                + version
                + ",\"routes\":[{\"name\":\"checks\",\"host\":\"h\",\"prefix\":\"/c/\","
                + "\"service\":\"ledger\",\"priority\":0,\"maxAttempts\":3,\"stretch\":1.6,"
                + "\"timeoutMs\":1500,\"targetDurationMs\":60}]}";
    }

    /** Waits for a version; fails if a document of another key is applied meanwhile. */
    private void awaitVersion(long version) throws InterruptedException {
        while (true) {
            PoolConfiguration applied = mApplied.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertTrue(applied != null, "version " + version + " was not applied");
            assertTrue(applied.version() != 9, "a document of another key was applied");
            if (applied.version() == version) {
                assertEquals(applied.queues().size(), 1);
                return;
            }
        }
    }
}
