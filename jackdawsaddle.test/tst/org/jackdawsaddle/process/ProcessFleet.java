package org.jackdawsaddle.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import org.jackdawsaddle.config.ConfigurationHead;
import org.jackdawsaddle.config.ConfigurationPublisher;
import org.jackdawsaddle.config.ConfigurationSet;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.dispatch.EntryStatus;
import org.jackdawsaddle.internal.http.HttpClient;
import org.jackdawsaddle.internal.http.HttpRequest;
import org.jackdawsaddle.internal.http.HttpResponse;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.internal.store.HttpStoreClient;
import org.jackdawsaddle.settings.EntrySettings;
import org.jackdawsaddle.settings.SidecarSettings;
import org.jackdawsaddle.standin.fleet.FreePorts;
import org.jackdawsaddle.standin.store.StoreSettings;
import org.jackdawsaddle.standin.store.StoreStandIn;
import org.jackdawsaddle.standin.target.TargetSettings;
import org.jackdawsaddle.standin.target.TargetStandIn;

/**
 * A fleet with entries and sidecars in processes of their own, and with stand-ins for the store and
 * the targets in the test's process.
 */
final class ProcessFleet {
    static final String ADMIN_TOKEN = "process-fleet";
    static final int SLOTS_PER_TARGET = 4;
    private static final long AWAIT_TIMEOUT_MILLIS = 40_000;
    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final long DRAIN_MILLIS = 20_000;

    final UnixClock mClock = new UnixClock();
    final HttpClient mHttpClient = new HttpClient(mClock, 2);
    final StoreStandIn mStore;
    final HttpStoreClient mStoreClient;
    final List<ChildProcess> mEntries = new ArrayList<>();
    final List<ChildProcess> mSidecars = new ArrayList<>();
    final List<TargetStandIn> mTargets = new ArrayList<>();

    /**
     * By entry, the proxy in front of its peer address, through which sidecars and other entries
     * connect to it. The connections that the entry opens to other entries pass through theirs.
     */
    final List<FaultProxy> mEntryProxies = new ArrayList<>();

    final List<String> mHttpAddresses;

    /**
     * Creates a fleet that is not running, with proxies in front of the entries' peer addresses.
     */
    ProcessFleet(int entries, int targets, String service) {
        Path folder = createFolder();
        String storeAddress = FreePorts.addresses(1).getFirst();
        mStore = new StoreStandIn(new StoreSettings(storeAddress), mClock);
        mStoreClient = new HttpStoreClient(mHttpClient, storeAddress, mClock);
        mHttpAddresses = FreePorts.addresses(entries);
        List<String> peers = FreePorts.addresses(entries);
        List<String> advertised = FreePorts.addresses(entries);
        for (int index = 0; index < entries; index++) {
            mEntryProxies.add(new FaultProxy(advertised.get(index), peers.get(index)));
            EntrySettings settings =
                    new EntrySettings(
                            "entry-" + index,
                            "here",
                            mHttpAddresses.get(index),
                            peers.get(index),
                            advertised.get(index),
                            storeAddress,
                            ADMIN_TOKEN,
                            1,
                            "FIRST_COME",
                            1_000_000,
                            DRAIN_MILLIS,
                            "");
            mEntries.add(new ChildProcess(folder, "entry", settings.name(), toMap(settings)));
        }
        for (int index = 0; index < targets; index++) {
            addTarget(folder, "target-" + index, service, advertised);
        }
    }

    /**
     * Adds a target with its sidecar.
     *
     * @param entries the advertised peer addresses of the entries, as host:port
     */
    private void addTarget(Path folder, String name, String service, List<String> entries) {
        List<String> addresses = FreePorts.addresses(2);
        mSidecars.add(
                new ChildProcess(
                        folder,
                        "sidecar",
                        name,
                        new SidecarSettings(
                                name, "here", addresses.getFirst(), entries, DRAIN_MILLIS, "")));
        mTargets.add(
                new TargetStandIn(
                        new TargetSettings(
                                name,
                                service,
                                addresses.getLast(),
                                addresses.getFirst(),
                                SLOTS_PER_TARGET,
                                64,
                                Demand.NONE,
                                1.0,
                                ""),
                        mClock));
    }

    /** Converts the settings to the form in which they are written to the settings file. */
    private static Object toMap(EntrySettings settings) {
        Map<?, ?> map = Json.read(Json.write(settings), Map.class);
        return map;
    }

    /** Starts the fleet, publishes a configuration and waits until all targets are usable. */
    void start(ConfigurationSet set) {
        mHttpClient.start();
        mStore.start();
        mEntryProxies.forEach(FaultProxy::start);
        mEntries.forEach(ChildProcess::start);
        mSidecars.forEach(ChildProcess::start);
        mTargets.forEach(TargetStandIn::start);
        publish(set);
        await("all targets usable", () -> usableTargets() == mTargets.size());
    }

    void stop() {
        mEntries.forEach(ChildProcess::resume);
        mSidecars.forEach(ChildProcess::resume);
        mEntries.forEach(ChildProcess::kill);
        mSidecars.forEach(ChildProcess::kill);
        mTargets.forEach(TargetStandIn::stop);
        mEntryProxies.forEach(FaultProxy::stop);
        mStore.stop();
        mHttpClient.stop();
    }

    /** Publishes a configuration based on the current revision; returns the new head. */
    ConfigurationHead publish(ConfigurationSet set) {
        ConfigurationPublisher publisher = new ConfigurationPublisher(mStoreClient, mClock::now);
        long base = publisher.read().join().revision();
        return publisher.publish(base, UUID.randomUUID().toString(), "test", "test", set).join();
    }

    /**
     * Returns the statuses of all entries as one entry reports them; empty if it is unavailable.
     */
    List<EntryStatus> status(int entry) {
        HttpRequest request =
                new HttpRequest(
                        "GET",
                        mHttpAddresses.get(entry),
                        "/admin/v1/status",
                        Map.of("Authorization", "Bearer " + ADMIN_TOKEN),
                        "",
                        mClock.now() + 2_000);
        try {
            HttpResponse response = mHttpClient.send(request).join();
            return response.succeeded()
                    ? Arrays.asList(Json.read(response.body(), EntryStatus[].class))
                    : List.of();
        } catch (CompletionException e) {
            return List.of();
        }
    }

    /** Returns the index of the entry that owns the partition; empty if no status shows one. */
    Optional<Integer> owner() {
        for (int entry = 0; entry < mEntries.size(); entry++) {
            for (EntryStatus status : status(entry)) {
                boolean owns =
                        status.partitions().stream().anyMatch(p -> p.phase().equals("ACTIVE"));
                if (owns) {
                    return Optional.of(Integer.parseInt(status.entry().substring(6)));
                }
            }
        }
        return Optional.empty();
    }

    /** Returns the number of usable targets as entry 0 reports it; 0 if it is unavailable. */
    long usableTargets() {
        return status(0).stream()
                .flatMap(status -> status.targets().stream())
                .filter(EntryStatus.TargetStatus::usable)
                .count();
    }

    /** Returns how often each task, given as id/index, was started on all targets together. */
    Map<String, Integer> startCounts() {
        Map<String, Integer> startCounts = new TreeMap<>();
        for (TargetStandIn target : mTargets) {
            target.ledger()
                    .startCounts()
                    .forEach((task, n) -> startCounts.merge(task, n, Integer::sum));
        }
        return startCounts;
    }

    /**
     * Waits until a condition holds.
     *
     * @param what the condition in words, for the error
     * @throws AssertionError if it does not hold within 40 s; contains the log of entry 0
     */
    void await(String what, BooleanSupplier condition) {
        long deadline = mClock.now() + AWAIT_TIMEOUT_MILLIS;
        while (!condition.getAsBoolean()) {
            if (mClock.now() > deadline) {
                throw new AssertionError(
                        "timed out waiting for "
                                + what
                                + "; log of entry 0:\n"
                                + mEntries.getFirst().log());
            }
            sleep(POLL_INTERVAL_MILLIS);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Path createFolder() {
        try {
            return Files.createTempDirectory("jackdawsaddle-test");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
