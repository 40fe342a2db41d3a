package org.jackdawsaddle.process;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jackdawsaddle.internal.http.HttpAnswer;
import org.jackdawsaddle.internal.http.HttpCall;
import org.jackdawsaddle.internal.http.HttpCaller;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.platform.PlatformSettings;
import org.jackdawsaddle.standin.platform.KvStandIn;
import org.jackdawsaddle.standin.platform.WorkerModel;
import org.jackdawsaddle.standin.platform.WorkerStandIn;

/**
 * The roles on the platform as processes of their own, and around them, in this process, a store,
 * workers and the links to both, which faults can be brought upon.
 */
final class SoakFleet {
    static final int ENTRIES = 2;
    static final int WORKERS = 3;
    static final double CORES = 16;
    static final String HOST = "bulls.example";
    static final String PREFIX = "/checks/";
    private static final int CALLER_PORT = 18_161;
    private static final int READINESS_PORT = 18_167;
    private static final int ANNOUNCEMENT_PORT = 18_166;
    private static final int PEER_PORT = 17_720;
    private static final int WORKER_PORT = 18_165;
    private static final int STORE_PORT = 18_169;
    private static final int METRICS_PORT = 9_464;
    private static final int FIRST_SIDECAR_HOST = 100;
    private static final long RESEND_MILLIS = 1_300;
    private static final double GRACE_SECONDS = 2;
    private static final double[] SPEEDS = {0.6, 1.0, 1.6};
    private static final long CALL_MILLIS = 1_000;
    private static final long RESTART_MILLIS = 300;

    final UnixClock mClock = new UnixClock();
    final HttpCaller mCaller = new HttpCaller(mClock, 1);
    final KvStandIn mStore;
    final LinkProxy mStoreLink;
    final List<ChildProcess> mEntries = new ArrayList<>();
    final List<ChildProcess> mSidecars = new ArrayList<>();
    final List<WorkerStandIn> mWorkers = new ArrayList<>();
    final List<LinkProxy> mWorkerLinks = new ArrayList<>();
    final Path mFolder;
    private final int mNetwork;
    private volatile boolean mStopping;
    private long mVersion = 1;

    /** The exit codes of processes that ended by themselves. */
    final List<Integer> mExits = new CopyOnWriteArrayList<>();

    /**
     * Creates a fleet that is not running.
     *
     * @param network the second number of the loopback addresses, for fleets side by side
     */
    SoakFleet(int network) {
        mNetwork = network;
        mStore = new KvStandIn(near(1) + ":" + STORE_PORT, mClock);
        mStoreLink = new LinkProxy(far(1) + ":" + STORE_PORT, near(1) + ":" + STORE_PORT);
        mFolder = ProcessFleet.folder();
        for (int entry = 0; entry < ENTRIES; entry++) {
            String name = "entry-" + entry;
            mEntries.add(
                    ChildProcess.onPlatform(
                            mFolder, "entry", name, settings(name, near(2 + entry))));
        }
        for (int worker = 0; worker < WORKERS; worker++) {
            addWorker(worker);
        }
    }

    private void addWorker(int worker) {
        int number = FIRST_SIDECAR_HOST + worker;
        String name = "sidecar-" + worker;
        PlatformSettings settings = settings(name, near(number));
        mSidecars.add(ChildProcess.onPlatform(mFolder, "sidecar", name, settings));
        String address = near(number) + ":" + WORKER_PORT;
        String linked = far(number) + ":" + WORKER_PORT;
        mWorkerLinks.add(new LinkProxy(linked, address));
        mWorkers.add(
                new WorkerStandIn(
                        new WorkerStandIn.WorkerConfig(
                                "worker-" + worker,
                                "ledger",
                                address,
                                linked,
                                settings.announcementAddress(),
                                CORES,
                                SPEEDS[worker % SPEEDS.length]),
                        mClock));
    }

    void start() {
        mCaller.start();
        mStore.start();
        mStoreLink.start();
        publish();
        mWorkerLinks.forEach(LinkProxy::start);
        mWorkers.forEach(WorkerStandIn::start);
        mEntries.forEach(ChildProcess::start);
        mSidecars.forEach(ChildProcess::start);
        Thread.ofPlatform().daemon().name("soak-platform").start(this::restartWhatEnds);
    }

    /** Starts processes again that have ended by themselves, as the platform does. */
    private void restartWhatEnds() {
        while (!mStopping) {
            mEntries.forEach(this::restartIfEnded);
            mSidecars.forEach(this::restartIfEnded);
            ProcessFleet.pause(RESTART_MILLIS);
        }
    }

    private void restartIfEnded(ChildProcess process) {
        synchronized (process) {
            if (!mStopping && !process.alive()) {
                mExits.add(process.exitCode());
                process.start();
            }
        }
    }

    void stop() {
        mStopping = true;
        mEntries.forEach(ChildProcess::resume);
        mSidecars.forEach(ChildProcess::resume);
        mEntries.forEach(ChildProcess::kill);
        mSidecars.forEach(ChildProcess::kill);
        mWorkers.forEach(WorkerStandIn::stop);
        mWorkerLinks.forEach(LinkProxy::stop);
        mStoreLink.stop();
        mStore.stop();
        mCaller.stop();
    }

    /** Publishes the next version of the configuration, with a queue and one named after it. */
    long publish() {
        mVersion++;
        mStore.put(
                "op/config",
                Json.write(
                        Map.of(
                                "version",
                                mVersion,
                                "routes",
                                List.of(
                                        route("checks", PREFIX),
                                        route("v" + mVersion, "/v" + mVersion + "/")))));
        return mVersion;
    }

    private static Map<String, Object> route(String name, String prefix) {
        return Map.of(
                "name",
                name,
                "host",
                HOST,
                "prefix",
                prefix,
                "service",
                "ledger",
                "priority",
                0,
                "maxAttempts",
                3,
                "stretch",
                1.6,
                "targetDurationMs",
                60,
                "timeoutMs",
                1_500);
    }

    /** Replaces the settings file of an entry by one with another seed, and back. */
    void changeSettings(int entry, boolean back) {
        String name = "entry-" + entry;
        PlatformSettings before = settings(name, near(2 + entry));
        String seed = near(back ? 2 : 2 + ENTRIES) + ":" + ANNOUNCEMENT_PORT;
        mEntries.get(entry)
                .write(
                        new PlatformSettings(
                                before.instance(),
                                before.dataCentre(),
                                before.ip(),
                                before.callerAddress(),
                                before.readinessAddress(),
                                before.announcementAddress(),
                                before.peerPort(),
                                List.of(seed),
                                before.storeAddress(),
                                before.leaseMillis(),
                                before.resendMillis(),
                                before.graceSeconds()));
    }

    boolean ready(int entry) {
        return get(entry, READINESS_PORT, "/ready").filter(HttpAnswer::succeeded).isPresent();
    }

    /** Returns the version of the configuration that an entry has in force, by its metrics. */
    long versionInForce(int entry) {
        return get(entry, METRICS_PORT, "/metrics").stream()
                .flatMap(answer -> answer.body().lines())
                .filter(line -> line.startsWith("jackdawsaddle_configuration_version "))
                .mapToLong(line -> (long) Double.parseDouble(line.split(" ")[1]))
                .findFirst()
                .orElse(0);
    }

    private Optional<HttpAnswer> get(int entry, int port, String path) {
        HttpCall call =
                new HttpCall(
                        "GET", near(2 + entry) + ":" + port, path, "", mClock.now() + CALL_MILLIS);
        return mCaller.call(call).handle((answer, failure) -> Optional.ofNullable(answer)).join();
    }

    String callerAddress(int entry) {
        return near(2 + entry) + ":" + CALLER_PORT;
    }

    private PlatformSettings settings(String name, String ip) {
        return new PlatformSettings(
                name,
                "here",
                ip,
                ip + ":" + CALLER_PORT,
                ip + ":" + READINESS_PORT,
                ip + ":" + ANNOUNCEMENT_PORT,
                PEER_PORT,
                List.of(near(2) + ":" + ANNOUNCEMENT_PORT, near(3) + ":" + ANNOUNCEMENT_PORT),
                far(1) + ":" + STORE_PORT,
                WorkerModel.LEASE_MILLIS,
                RESEND_MILLIS,
                GRACE_SECONDS);
    }

    private String near(int number) {
        return "127." + mNetwork + ".0." + number;
    }

    /** Returns the address at which the link to the same number listens. */
    private String far(int number) {
        return "127." + mNetwork + ".1." + number;
    }
}
