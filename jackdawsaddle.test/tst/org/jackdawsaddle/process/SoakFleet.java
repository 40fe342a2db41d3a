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
import org.jackdawsaddle.standin.platform.PlatformFixture;
import org.jackdawsaddle.standin.platform.WorkerStandIn;

/**
 * The roles on the platform in processes of their own. The stand-ins for the store and the workers
 * run in this process, behind proxies that can inject faults into the connections. Announcements of
 * the workers bypass the proxies.
 */
final class SoakFleet {
    static final int ENTRIES = 2;
    static final int WORKERS = 3;
    static final String QUEUE = "checks";
    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final long RESTART_INTERVAL_MILLIS = 300;

    final UnixClock mClock = new UnixClock();
    final HttpClient mHttpClient = new HttpClient(mClock, 1);
    final KvStandIn mStore;
    final FaultProxy mStoreProxy;
    final List<ChildProcess> mEntries = new ArrayList<>();
    final List<ChildProcess> mSidecars = new ArrayList<>();
    final List<WorkerStandIn> mWorkers = new ArrayList<>();
    final List<FaultProxy> mWorkerProxies = new ArrayList<>();

    /**
     * By sidecar and entry, the proxy that the sidecar connects to; empty if it connects directly.
     */
    final List<List<FaultProxy>> mPeerProxies = new ArrayList<>();

    /** The folder of the settings files and logs of the processes. */
    final Path mFolder;

    final PlatformFixture mFixture;
    private final List<String> mSeeds;
    private volatile boolean mStopping;

    /** The last published version of the configuration; the first one is 2. */
    private long mLastVersion = 1;

    /** Descriptions of the processes that exited without being told to. */
    final List<String> mUnexpectedExits = new CopyOnWriteArrayList<>();

    /**
     * Creates a fleet that is not running, whose sidecars connect directly to the entries.
     *
     * @param network the second octet of the loopback addresses, distinct for fleets that run at
     *     the same time
     */
    SoakFleet(int network) {
        this(network, false);
    }

    /**
     * Creates a fleet that is not running.
     *
     * @param network as above
     * @param peerProxies whether each sidecar connects to each entry through a proxy
     */
    SoakFleet(int network, boolean peerProxies) {
        mFixture = new PlatformFixture(network);
        mSeeds = List.of(mFixture.seed(0), mFixture.seed(1));
        mStore = new KvStandIn(mFixture.storeAddress(), mClock);
        mStoreProxy = new FaultProxy(mFixture.storeProxyAddress(), mFixture.storeAddress());
        mFolder = ProcessFleet.createFolder();
        for (int entry = 0; entry < ENTRIES; entry++) {
            mEntries.add(
                    ChildProcess.platformRole(
                            mFolder, "entry", "entry-" + entry, settings(entry, mSeeds)));
        }
        for (int worker = 0; worker < WORKERS; worker++) {
            addWorker(worker, peerProxies ? addPeerProxies(worker) : mSeeds);
        }
    }

    /** Adds the proxies between a sidecar and all entries, and returns the seeds that name them. */
    private List<String> addPeerProxies(int sidecar) {
        AddressRewriter rewriter = new AddressRewriter();
        List<FaultProxy> proxies = new ArrayList<>();
        List<String> seeds = new ArrayList<>();
        for (int entry = 0; entry < ENTRIES; entry++) {
            String entryAddress = mFixture.peerAddress(entry);
            String proxyAddress = mFixture.peerProxyAddress(sidecar, entry);
            rewriter.add(entryAddress, proxyAddress);
            proxies.add(new FaultProxy(proxyAddress, entryAddress, rewriter));
            seeds.add(mFixture.proxySeed(sidecar, entry));
        }
        mPeerProxies.add(proxies);
        return seeds;
    }

    private PlatformSettings settings(int entry, List<String> seeds) {
        return mFixture.entry(entry, seeds, mFixture.storeProxyAddress());
    }

    private void addWorker(int worker, List<String> seeds) {
        mSidecars.add(
                ChildProcess.platformRole(
                        mFolder,
                        "sidecar",
                        "sidecar-" + worker,
                        mFixture.sidecar(worker, seeds, mFixture.storeProxyAddress())));
        String proxyAddress = mFixture.workerProxyAddress(worker);
        mWorkerProxies.add(new FaultProxy(proxyAddress, mFixture.workerAddress(worker)));
        mWorkers.add(new WorkerStandIn(mFixture.worker(worker, proxyAddress), mClock));
    }

    void start() {
        mHttpClient.start();
        mStore.start();
        mStoreProxy.start();
        publish();
        mWorkerProxies.forEach(FaultProxy::start);
        mPeerProxies.forEach(proxies -> proxies.forEach(FaultProxy::start));
        mWorkers.forEach(WorkerStandIn::start);
        mEntries.forEach(ChildProcess::start);
        mSidecars.forEach(ChildProcess::start);
        Thread.ofPlatform().daemon().name("soak-platform").start(this::restartEndedProcesses);
    }

    /** Restarts processes that have exited by themselves, as the platform does. */
    private void restartEndedProcesses() {
        while (!mStopping) {
            mEntries.forEach(this::restartIfEnded);
            mSidecars.forEach(this::restartIfEnded);
            ProcessFleet.sleep(RESTART_INTERVAL_MILLIS);
        }
    }

    private void restartIfEnded(ChildProcess process) {
        synchronized (process) {
            if (!mStopping && !process.alive()) {
                if (!process.killedBySighupAtStart()) {
                    mUnexpectedExits.add(
                            "a process exited by itself with code " + process.exitCode());
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
        mWorkerProxies.forEach(FaultProxy::stop);
        mPeerProxies.forEach(proxies -> proxies.forEach(FaultProxy::stop));
        mStoreProxy.stop();
        mStore.stop();
        mHttpClient.stop();
    }

    /**
     * Publishes the next version of the configuration, whose second queue is named after it.
     *
     * @return the version
     */
    long publish() {
        mLastVersion++;
        List<String> queues = List.of(QUEUE, "v" + mLastVersion);
        mStore.put("op/config", PlatformFixture.configuration(mLastVersion, queues));
        return mLastVersion;
    }

    /**
     * Rewrites the settings file of an entry.
     *
     * @param restore whether to write the initial seeds again; otherwise, the only seed is the
     *     address of an entry that does not exist
     */
    void changeSettings(int entry, boolean restore) {
        List<String> seeds = restore ? mSeeds : List.of(mFixture.seed(ENTRIES));
        mEntries.get(entry).writeSettings(settings(entry, seeds));
    }

    boolean ready(int entry) {
        return get(mFixture.readinessAddress(entry), "/ready")
                .filter(HttpResponse::succeeded)
                .isPresent();
    }

    /** Returns the configuration version in the metrics of an entry; 0 if unavailable. */
    long appliedVersion(int entry) {
        return get(mFixture.metricsAddress(entry), "/metrics").stream()
                .flatMap(response -> response.body().lines())
                .filter(line -> line.startsWith("jackdawsaddle_configuration_version "))
                .mapToLong(line -> (long) Double.parseDouble(line.split(" ")[1]))
                .findFirst()
                .orElse(0);
    }

    private Optional<HttpResponse> get(String address, String path) {
        HttpRequest request =
                new HttpRequest("GET", address, path, "", mClock.now() + CALL_TIMEOUT_MILLIS);
        return mHttpClient
                .send(request)
                .handle((response, failure) -> Optional.ofNullable(response))
                .join();
    }
}
