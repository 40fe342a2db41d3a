package org.jackdawsaddle.process;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jackdawsaddle.internal.http.HttpClient;
import org.jackdawsaddle.internal.http.HttpRequest;
import org.jackdawsaddle.internal.http.HttpResponse;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.platform.PlatformSettings;
import org.jackdawsaddle.standin.platform.KvStandIn;
import org.jackdawsaddle.standin.platform.PlatformPlan;
import org.jackdawsaddle.standin.platform.WorkerStandIn;

/**
 * The roles on the platform as processes of their own, and around them, in this process, a store,
 * workers and the links to both, which faults can be brought upon.
 */
final class SoakFleet {
    static final int ENTRIES = 2;
    static final int WORKERS = 3;
    static final String QUEUE = "checks";
    private static final long CALL_MILLIS = 1_000;
    private static final long RESTART_MILLIS = 300;

    final UnixClock mClock = new UnixClock();
    final HttpClient mCaller = new HttpClient(mClock, 1);
    final KvStandIn mStore;
    final LinkProxy mStoreLink;
    final List<ChildProcess> mEntries = new ArrayList<>();
    final List<ChildProcess> mSidecars = new ArrayList<>();
    final List<WorkerStandIn> mWorkers = new ArrayList<>();
    final List<LinkProxy> mWorkerLinks = new ArrayList<>();
    final Path mFolder;
    final PlatformPlan mPlan;
    private final List<String> mSeeds;
    private volatile boolean mStopping;
    private long mVersion = 1;

    /** The processes that ended by themselves. */
    final List<String> mExits = new CopyOnWriteArrayList<>();

    /**
     * Creates a fleet that is not running.
     *
     * @param network the second number of the loopback addresses, for fleets side by side
     */
    SoakFleet(int network) {
        mPlan = new PlatformPlan(network);
        mSeeds = List.of(mPlan.seed(0), mPlan.seed(1));
        mStore = new KvStandIn(mPlan.storeAddress(), mClock);
        mStoreLink = new LinkProxy(mPlan.storeLinkAddress(), mPlan.storeAddress());
        mFolder = ProcessFleet.folder();
        for (int entry = 0; entry < ENTRIES; entry++) {
            mEntries.add(
                    ChildProcess.onPlatform(
                            mFolder, "entry", "entry-" + entry, settings(entry, mSeeds)));
        }
        for (int worker = 0; worker < WORKERS; worker++) {
            addWorker(worker);
        }
    }

    private PlatformSettings settings(int entry, List<String> seeds) {
        return mPlan.entry(entry, seeds, mPlan.storeLinkAddress());
    }

    private void addWorker(int worker) {
        mSidecars.add(
                ChildProcess.onPlatform(
                        mFolder,
                        "sidecar",
                        "sidecar-" + worker,
                        mPlan.sidecar(worker, mSeeds, mPlan.storeLinkAddress())));
        String linked = mPlan.workerLinkAddress(worker);
        mWorkerLinks.add(new LinkProxy(linked, mPlan.workerAddress(worker)));
        mWorkers.add(new WorkerStandIn(mPlan.worker(worker, linked), mClock));
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
                if (!process.hungUpAtStart()) {
                    mExits.add("a process ended by itself with code " + process.exitCode());
                }
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
        List<String> queues = List.of(QUEUE, "v" + mVersion);
        mStore.put("op/config", PlatformPlan.configuration(mVersion, queues));
        return mVersion;
    }

    /** Replaces the settings file of an entry by one with another seed, or by the first one. */
    void changeSettings(int entry, boolean back) {
        List<String> seeds = back ? mSeeds : List.of(mPlan.seed(ENTRIES));
        mEntries.get(entry).write(settings(entry, seeds));
    }

    boolean ready(int entry) {
        return get(mPlan.readinessAddress(entry), "/ready")
                .filter(HttpResponse::succeeded)
                .isPresent();
    }

    /** Returns the version of the configuration that an entry has in force, by its metrics. */
    long versionInForce(int entry) {
        return get(mPlan.metricsAddress(entry), "/metrics").stream()
                .flatMap(answer -> answer.body().lines())
                .filter(line -> line.startsWith("jackdawsaddle_configuration_version "))
                .mapToLong(line -> (long) Double.parseDouble(line.split(" ")[1]))
                .findFirst()
                .orElse(0);
    }

    private Optional<HttpResponse> get(String address, String path) {
        HttpRequest call = new HttpRequest("GET", address, path, "", mClock.now() + CALL_MILLIS);
        return mCaller.send(call).handle((answer, failure) -> Optional.ofNullable(answer)).join();
    }
}
