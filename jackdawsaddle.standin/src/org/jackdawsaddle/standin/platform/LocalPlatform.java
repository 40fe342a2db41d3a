package org.jackdawsaddle.standin.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.internal.http.HttpClient;
import org.jackdawsaddle.internal.http.HttpRequest;
import org.jackdawsaddle.internal.http.HttpResponse;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.platform.PlatformEntry;
import org.jackdawsaddle.platform.PlatformSettings;
import org.jackdawsaddle.platform.PlatformSettingsReader;
import org.jackdawsaddle.platform.PlatformSidecar;

/**
 * The platform in one process: stand-ins for the store and for workers of different speed, and the
 * product's entries and sidecars. The store and each entry have loopback IP addresses of their own;
 * a worker shares one with its sidecar.
 */
public final class LocalPlatform implements ManagedService {
    private static final String QUEUE = "checks";
    private static final long RESPONSE_TIMEOUT_MILLIS = 30_000;

    private final UnixClock mClock;
    private final PlatformFixture mFixture;
    private final KvStandIn mStore;
    private final List<PlatformEntry> mEntries = new ArrayList<>();
    private final List<PlatformSidecar> mSidecars = new ArrayList<>();
    private final List<WorkerStandIn> mWorkers = new ArrayList<>();
    private final HttpClient mHttpClient;

    /** The last published version of the configuration; the first one is 2. */
    private long mLastVersion = 1;

    /**
     * Creates a platform that is not running.
     *
     * @param network the second octet of the loopback addresses, 1 to 254, distinct for platforms
     *     that run at the same time
     * @param entries the number of entries
     * @param workers the number of workers, each with a sidecar
     */
    public LocalPlatform(int network, int entries, int workers, UnixClock clock) {
        this(new PlatformFixture(network), entries, workers, clock);
    }

    /** Creates a platform as above, with the addresses and settings of a fixture. */
    public LocalPlatform(PlatformFixture fixture, int entries, int workers, UnixClock clock) {
        mClock = clock;
        mFixture = fixture;
        mStore = new KvStandIn(mFixture.storeAddress(), clock);
        mHttpClient = new HttpClient(clock, 1);
        List<String> seeds = List.of(mFixture.seed(0));
        for (int entry = 0; entry < entries; entry++) {
            PlatformSettings settings = mFixture.entry(entry, seeds, mFixture.storeAddress());
            mEntries.add(new PlatformEntry(readBack(settings), clock));
        }
        for (int worker = 0; worker < workers; worker++) {
            PlatformSettings settings = mFixture.sidecar(worker, seeds, mFixture.storeAddress());
            mSidecars.add(new PlatformSidecar(readBack(settings), clock));
            mWorkers.add(
                    new WorkerStandIn(
                            mFixture.worker(worker, mFixture.workerAddress(worker)), clock));
        }
    }

    @Override
    public void start() {
        mHttpClient.start();
        mStore.start();
        publish();
        mEntries.forEach(ManagedService::start);
        mSidecars.forEach(ManagedService::start);
        mWorkers.forEach(ManagedService::start);
    }

    @Override
    public void stop() {
        mEntries.forEach(ManagedService::stop);
        mSidecars.forEach(ManagedService::stop);
        mWorkers.forEach(ManagedService::stop);
        mStore.stop();
        mHttpClient.stop();
    }

    /** Returns the stand-in store. */
    public KvStandIn store() {
        return mStore;
    }

    /** Stops the last entry, and returns once it has stopped. */
    public void stopLastEntry() {
        mEntries.removeLast().stop();
    }

    /**
     * Returns a worker.
     *
     * @param index the index of the worker, from 0
     */
    public WorkerStandIn worker(int index) {
        return mWorkers.get(index);
    }

    /** Publishes the next version of the configuration, with one queue. */
    public void publish() {
        mLastVersion++;
        mStore.put("op/config", PlatformFixture.configuration(mLastVersion, List.of(QUEUE)));
    }

    /**
     * Returns whether an entry reports to the load balancer that it is ready.
     *
     * @param entry the index of the entry, from 0
     */
    public boolean ready(int entry) {
        HttpRequest request =
                new HttpRequest(
                        "GET",
                        mFixture.readinessAddress(entry),
                        "/ready",
                        "",
                        mClock.now() + 1_000);
        return mHttpClient.send(request).handle((response, failure) -> succeeded(response)).join();
    }

    /** Submits a job to an entry for a caller that waits for 30 s and declares this. */
    public CompletableFuture<HttpResponse> submit(int entry, String id, PlatformFixture.Work work) {
        return submit(entry, id, work, RESPONSE_TIMEOUT_MILLIS);
    }

    /**
     * Submits a job to an entry.
     *
     * @param entry the index of the entry, from 0
     * @param id the id of the job, 16 hexadecimal digits
     * @param declaredTimeoutMillis the timeout that the request declares, in milliseconds; the
     *     request itself times out after 30 s
     * @return the response; fails as that of {@link HttpClient#send}
     */
    public CompletableFuture<HttpResponse> submit(
            int entry, String id, PlatformFixture.Work work, long declaredTimeoutMillis) {
        long deadline = mClock.now() + RESPONSE_TIMEOUT_MILLIS;
        return mHttpClient.send(
                mFixture.jobRequest(entry, QUEUE, id, work, declaredTimeoutMillis, deadline));
    }

    private static boolean succeeded(HttpResponse response) {
        return response != null && response.succeeded();
    }

    /** Writes the settings to a file and reads them back through the roles' reader. */
    private static PlatformSettings readBack(PlatformSettings settings) {
        try {
            Path file = Files.createTempFile("settings", ".json");
            Files.writeString(file, Json.write(settings));
            PlatformSettings read = PlatformSettingsReader.create().read(file.toString());
            Files.delete(file);
            return read;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
