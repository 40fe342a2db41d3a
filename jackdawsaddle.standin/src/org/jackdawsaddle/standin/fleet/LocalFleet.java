package org.jackdawsaddle.standin.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.jackdawsaddle.EntryService;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.config.ConfigurationHead;
import org.jackdawsaddle.config.ConfigurationPublisher;
import org.jackdawsaddle.config.ConfigurationSet;
import org.jackdawsaddle.internal.dispatch.EntryStatus;
import org.jackdawsaddle.internal.http.HttpClient;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.internal.store.HttpStoreClient;
import org.jackdawsaddle.settings.EntrySettings;
import org.jackdawsaddle.standin.store.StoreSettings;
import org.jackdawsaddle.standin.store.StoreStandIn;

/**
 * A fleet in this process on loopback: entries and sidecars, with stand-ins for the targets and the
 * store.
 */
public final class LocalFleet implements ManagedService {
    /** The administration token of the fleet's entries. */
    public static final String ADMIN_TOKEN = "local-fleet";

    private static final long MAX_BODY_BYTES = 1_048_576;
    private static final long DRAIN_MILLIS = 10_000;
    private static final long READY_TIMEOUT_MILLIS = 20_000;
    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final int HTTP_CLIENT_THREADS = 2;

    private final FleetSpec mSpec;
    private final UnixClock mClock = new UnixClock();
    private final StoreStandIn mStore;
    private final HttpClient mHttpClient = new HttpClient(mClock, HTTP_CLIENT_THREADS);
    private final HttpStoreClient mStoreClient;
    private final List<EntryService> mEntries = new ArrayList<>();
    private final List<String> mHttpAddresses;
    private final List<LocalTarget> mTargets = new ArrayList<>();

    /** Creates a fleet that is not running. */
    public LocalFleet(FleetSpec spec) {
        mSpec = spec;
        String storeAddress = FreePorts.addresses(1).getFirst();
        mStore = new StoreStandIn(new StoreSettings(storeAddress), mClock);
        mStoreClient = new HttpStoreClient(mHttpClient, storeAddress, mClock);
        List<String> addresses = FreePorts.addresses(2 * spec.entries());
        mHttpAddresses = addresses.subList(0, spec.entries());
        List<String> peerAddresses = addresses.subList(spec.entries(), 2 * spec.entries());
        for (int index = 0; index < spec.entries(); index++) {
            EntrySettings settings =
                    new EntrySettings(
                            "entry-" + (index + 1),
                            "local",
                            mHttpAddresses.get(index),
                            peerAddresses.get(index),
                            "",
                            storeAddress,
                            ADMIN_TOKEN,
                            1,
                            spec.queueOrder(),
                            MAX_BODY_BYTES,
                            DRAIN_MILLIS,
                            "");
            mEntries.add(new EntryService(settings, mStoreClient, mClock));
        }
        spec.targets()
                .forEach(target -> mTargets.add(new LocalTarget(target, peerAddresses, mClock)));
    }

    @Override
    public void start() {
        mHttpClient.start();
        mStore.start();
        mEntries.forEach(EntryService::start);
        mTargets.forEach(LocalTarget::start);
        publish(mSpec.set(), "start of the fleet");
        awaitUsableTargets(mTargets.size());
    }

    @Override
    public void stop() {
        mTargets.forEach(LocalTarget::stop);
        mEntries.forEach(EntryService::stop);
        mStore.stop();
        mHttpClient.stop();
    }

    /**
     * Publishes a configuration based on the current revision.
     *
     * @param reason recorded in the audit record
     * @return the new head
     */
    public ConfigurationHead publish(ConfigurationSet set, String reason) {
        ConfigurationPublisher publisher = new ConfigurationPublisher(mStoreClient, mClock::now);
        long base = publisher.read().join().revision();
        return publisher
                .publish(base, UUID.randomUUID().toString(), "local-fleet", reason, set)
                .join();
    }

    /**
     * Waits until all entries are ready and targets are usable.
     *
     * @param targets the least number of usable targets
     * @throws IllegalStateException if that takes longer than 20 s
     */
    public void awaitUsableTargets(int targets) {
        long deadline = mClock.now() + READY_TIMEOUT_MILLIS;
        while (mClock.now() < deadline) {
            boolean ready =
                    mEntries.stream().allMatch(entry -> entry.api().ready())
                            && usableTargets() >= targets;
            if (ready) {
                return;
            }
            sleep();
        }
        List<EntryStatus> status = mEntries.getFirst().api().status().join();
        throw new IllegalStateException(
                "Entries are not ready or too few targets are usable; status of the entries: "
                        + status);
    }

    /**
     * Waits until a revision is in force on every entry and sidecar.
     *
     * @param timeoutMillis how long to wait, in milliseconds
     * @return false on a timeout
     */
    public boolean awaitRevision(long revision, long timeoutMillis) {
        long deadline = mClock.now() + timeoutMillis;
        while (mClock.now() < deadline) {
            List<EntryStatus> all = mEntries.getFirst().api().status().join();
            boolean applied =
                    all.size() == mEntries.size()
                            && all.stream().allMatch(status -> status.revision() >= revision)
                            && all.stream()
                                    .allMatch(status -> status.unconfirmed(revision).isEmpty());
            if (applied) {
                return true;
            }
            sleep();
        }
        return false;
    }

    /** Returns how often each task, given as id/index, was started on all targets together. */
    public Map<String, Integer> startCounts() {
        Map<String, Integer> startCounts = new TreeMap<>();
        for (LocalTarget target : mTargets) {
            target.target()
                    .ledger()
                    .startCounts()
                    .forEach((task, count) -> startCounts.merge(task, count, Integer::sum));
        }
        return startCounts;
    }

    /** Returns the number of messages that entries and sidecars have sent, by type. */
    public Map<String, Long> messageCounts() {
        Map<String, Long> messages = new TreeMap<>();
        mEntries.forEach(entry -> add(messages, entry.messageCounts().messages()));
        mTargets.forEach(target -> add(messages, target.sidecar().messageCounts().messages()));
        return messages;
    }

    /** Returns the entries. */
    public List<EntryService> entries() {
        return List.copyOf(mEntries);
    }

    /** Returns where callers reach the entries, as host:port. */
    public List<String> httpAddresses() {
        return List.copyOf(mHttpAddresses);
    }

    /** Returns the targets. */
    public List<LocalTarget> targets() {
        return List.copyOf(mTargets);
    }

    /** Returns the stand-in store. */
    public StoreStandIn store() {
        return mStore;
    }

    /** Returns the HTTP client of the fleet, which runs while the fleet does. */
    public HttpClient httpClient() {
        return mHttpClient;
    }

    /** Returns the clock of the fleet. */
    public UnixClock clock() {
        return mClock;
    }

    private long usableTargets() {
        CompletableFuture<List<EntryStatus>> status = mEntries.getFirst().api().status();
        return status.join().stream()
                .filter(entry ->
                        entry.partitions().stream().allMatch(p -> p.phase().equals("ACTIVE")))
                .flatMap(entry -> entry.targets().stream())
                .filter(target -> target.state().equals("serving"))
                .filter(target -> target.usable())
                .count();
    }

    private static void add(Map<String, Long> sums, Map<String, Long> counts) {
        counts.forEach((type, count) -> sums.merge(type, count, Long::sum));
    }

    private static void sleep() {
        try {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
