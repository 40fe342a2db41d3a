package org.jackdawsaddle.standin.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.internal.http.HttpAnswer;
import org.jackdawsaddle.internal.http.HttpCall;
import org.jackdawsaddle.internal.http.HttpCaller;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.platform.PlatformEntry;
import org.jackdawsaddle.platform.PlatformSettings;
import org.jackdawsaddle.platform.PlatformSettingsReader;
import org.jackdawsaddle.platform.PlatformSidecar;

/**
 * The platform in one process: a store, workers of different speed, and the product's entries and
 * sidecars, each at a loopback address of its own.
 */
public final class PlatformPicture implements ManagedService {
    private static final String HOST = "bulls.example";
    private static final String PREFIX = "/checks/";
    private static final int CALLER_PORT = 18_161;
    private static final int READINESS_PORT = 18_167;
    private static final int ANNOUNCEMENT_PORT = 18_166;
    private static final int PEER_PORT = 17_720;
    private static final int WORKER_PORT = 18_165;
    private static final double WORKER_CORES = 16;
    private static final long PATIENCE_MILLIS = 30_000;
    private static final long RESEND_MILLIS = 1_300;
    private static final double GRACE_SECONDS = 1;
    private static final double[] SPEEDS = {0.6, 1.0, 1.6};
    private static final int FIRST_SIDECAR_HOST = 100;

    private final UnixClock mClock;
    private final String mStoreAddress;
    private final KvStandIn mStore;
    private final List<PlatformEntry> mEntries = new ArrayList<>();
    private final List<PlatformSidecar> mSidecars = new ArrayList<>();
    private final List<WorkerStandIn> mWorkers = new ArrayList<>();
    private final HttpCaller mCaller;
    private long mVersion = 1;

    /**
     * Creates a picture that is not running.
     *
     * @param network the second number of the loopback addresses, 1 to 254, for pictures side by
     *     side
     */
    public PlatformPicture(int network, int entries, int workers, UnixClock clock) {
        mClock = clock;
        mStoreAddress = host(network, 1) + ":18169";
        mStore = new KvStandIn(mStoreAddress, clock);
        mCaller = new HttpCaller(clock, 1);
        List<String> seeds = List.of(host(network, 2) + ":" + ANNOUNCEMENT_PORT);
        for (int entry = 0; entry < entries; entry++) {
            String ip = host(network, 2 + entry);
            mEntries.add(new PlatformEntry(settings("entry-" + entry, ip, seeds), clock));
        }
        for (int worker = 0; worker < workers; worker++) {
            String ip = host(network, FIRST_SIDECAR_HOST + worker);
            PlatformSettings settings = settings("sidecar-" + worker, ip, seeds);
            mSidecars.add(new PlatformSidecar(settings, clock));
            mWorkers.add(
                    new WorkerStandIn(
                            new WorkerStandIn.WorkerConfig(
                                    "worker-" + worker,
                                    "ledger",
                                    ip + ":" + WORKER_PORT,
                                    ip + ":" + WORKER_PORT,
                                    settings.announcementAddress(),
                                    WORKER_CORES,
                                    SPEEDS[worker % SPEEDS.length]),
                            clock));
        }
    }

    @Override
    public void start() {
        mCaller.start();
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
        mCaller.stop();
    }

    /** Returns the store. */
    public KvStandIn store() {
        return mStore;
    }

    /** Returns a worker. */
    public WorkerStandIn worker(int number) {
        return mWorkers.get(number);
    }

    /** Publishes the next version of the configuration, with one queue. */
    public void publish() {
        mVersion++;
        Map<String, Object> route =
                Map.of(
                        "name",
                        "checks",
                        "host",
                        HOST,
                        "prefix",
                        PREFIX,
                        "service",
                        "ledger",
                        "priority",
                        0,
                        "maxAttempts",
                        3,
                        "stretch",
                        1.6,
                        "targetDurationMs",
                        60);
        mStore.put("op/config", Json.write(Map.of("version", mVersion, "routes", List.of(route))));
    }

    /** Returns whether an entry tells the balancer that it is ready. */
    public boolean ready(int network, int entry) {
        String address = host(network, 2 + entry) + ":" + READINESS_PORT;
        HttpCall call = new HttpCall("GET", address, "/ready", "", mClock.now() + 1_000);
        return mCaller.call(call).handle((answer, failure) -> ok(answer)).join();
    }

    /** Sends a job of some tasks alike to an entry, and waits long for its answer. */
    public CompletableFuture<HttpAnswer> submit(
            int network, int entry, String id, int tasks, double millis, double cores) {
        return submit(network, entry, id, tasks, millis, cores, PATIENCE_MILLIS);
    }

    /** Sends a job of some tasks alike to an entry, and says how long its answer is waited for. */
    public CompletableFuture<HttpAnswer> submit(
            int network,
            int entry,
            String id,
            int tasks,
            double millis,
            double cores,
            long patienceMillis) {
        Map<String, Object> step =
                Map.of(
                        "count",
                        tasks,
                        "cpu",
                        Math.round(cores * 1_000),
                        "memMb",
                        64,
                        "estimateMs",
                        Math.round(millis));
        Map<String, Object> body =
                Map.of("spec", millis + " " + cores, "steps", List.of(step), "bestEffort", true);
        String address = host(network, 2 + entry) + ":" + CALLER_PORT;
        return mCaller.call(
                new HttpCall(
                        "POST",
                        address,
                        PREFIX + id,
                        Map.of(
                                "Host",
                                HOST,
                                "X-Jackdawsaddle-Deadline-Ms",
                                Long.toString(patienceMillis)),
                        Json.write(body),
                        mClock.now() + PATIENCE_MILLIS));
    }

    private static boolean ok(HttpAnswer answer) {
        return answer != null && answer.succeeded();
    }

    private PlatformSettings settings(String name, String ip, List<String> seeds) {
        PlatformSettings settings =
                new PlatformSettings(
                        name,
                        "here",
                        ip,
                        ip + ":" + CALLER_PORT,
                        ip + ":" + READINESS_PORT,
                        ip + ":" + ANNOUNCEMENT_PORT,
                        PEER_PORT,
                        seeds,
                        mStoreAddress,
                        WorkerModel.LEASE_MILLIS,
                        RESEND_MILLIS,
                        GRACE_SECONDS);
        return readBack(settings);
    }

    /** Reads the settings from a file, as the roles do. */
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

    private static String host(int network, int number) {
        return "127." + network + ".0." + number;
    }
}
