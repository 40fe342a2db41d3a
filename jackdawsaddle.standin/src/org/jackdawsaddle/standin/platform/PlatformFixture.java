package org.jackdawsaddle.standin.platform;

import java.util.List;
import java.util.Map;
import org.jackdawsaddle.internal.http.HttpRequest;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.platform.PlatformSettings;

/**
 * The loopback addresses of a platform for tests and trials, all as host:port, and the settings,
 * configurations and job requests that go with them. Entries, sidecars and workers are numbered
 * from 0; a worker and its sidecar have the same number and IP address.
 */
public final class PlatformFixture {
    /** The cores of each worker. */
    public static final double WORKER_CORES = 16;

    private static final String HOST = "bulls.example";
    private static final String SERVICE = "ledger";
    private static final int CALLER_PORT = 18_161;
    private static final int READINESS_PORT = 18_167;
    private static final int ANNOUNCEMENT_PORT = 18_166;
    private static final int PEER_PORT = 17_720;
    private static final int WORKER_PORT = 18_165;
    private static final int STORE_PORT = 18_169;
    private static final int METRICS_PORT = 9_464;
    private static final int STORE_HOST = 1;
    private static final int FIRST_ENTRY_HOST = 2;
    private static final int FIRST_SIDECAR_HOST = 100;

    /** The third octet of the proxies between the first sidecar and the entries. */
    private static final int FIRST_PEER_PROXY_SUBNET = 2;

    private static final long RESEND_MILLIS = 1_300;
    private static final double DEFAULT_GRACE_SECONDS = 1;
    private static final double[] SPEEDS = {0.6, 1.0, 1.6};
    private static final int MILLICORES_PER_CORE = 1_000;

    private final int mNetwork;
    private final double mGraceSeconds;

    /**
     * Creates a fixture whose processes have a grace period of 1 s.
     *
     * @param network the second octet of all addresses, 1 to 254, distinct for platforms that run
     *     at the same time
     */
    public PlatformFixture(int network) {
        this(network, DEFAULT_GRACE_SECONDS);
    }

    /**
     * Creates a fixture.
     *
     * @param network as above
     * @param graceSeconds the grace period of the processes, in seconds
     */
    public PlatformFixture(int network, double graceSeconds) {
        mNetwork = network;
        mGraceSeconds = graceSeconds;
    }

    /** Returns where the store listens. */
    public String storeAddress() {
        return host(STORE_HOST) + ":" + STORE_PORT;
    }

    /** Returns where a proxy to the store may listen. */
    public String storeProxyAddress() {
        return proxyHost(STORE_HOST) + ":" + STORE_PORT;
    }

    /** Returns where callers reach an entry. */
    public String callerAddress(int entry) {
        return host(FIRST_ENTRY_HOST + entry) + ":" + CALLER_PORT;
    }

    /** Returns where an entry answers readiness checks. */
    public String readinessAddress(int entry) {
        return host(FIRST_ENTRY_HOST + entry) + ":" + READINESS_PORT;
    }

    /** Returns where an entry serves its metrics. */
    public String metricsAddress(int entry) {
        return host(FIRST_ENTRY_HOST + entry) + ":" + METRICS_PORT;
    }

    /** Returns where a worker accepts orders. */
    public String workerAddress(int worker) {
        return host(FIRST_SIDECAR_HOST + worker) + ":" + WORKER_PORT;
    }

    /** Returns where a proxy to a worker may listen. */
    public String workerProxyAddress(int worker) {
        return proxyHost(FIRST_SIDECAR_HOST + worker) + ":" + WORKER_PORT;
    }

    /** Returns the announcement address of an entry, as it is listed in the seeds. */
    public String seed(int entry) {
        return host(FIRST_ENTRY_HOST + entry) + ":" + ANNOUNCEMENT_PORT;
    }

    /** Returns where an entry listens for sidecars and other entries. */
    public String peerAddress(int entry) {
        return host(FIRST_ENTRY_HOST + entry) + ":" + PEER_PORT;
    }

    /**
     * Returns where a proxy between a sidecar and the peer address of an entry may listen; as long
     * as that address.
     *
     * @param sidecar the number of the sidecar, at most 7
     */
    public String peerProxyAddress(int sidecar, int entry) {
        return peerProxyHost(sidecar, entry) + ":" + PEER_PORT;
    }

    /** Returns the seed that names the proxy between a sidecar and an entry. */
    public String proxySeed(int sidecar, int entry) {
        return peerProxyHost(sidecar, entry) + ":" + ANNOUNCEMENT_PORT;
    }

    /**
     * Returns the settings of an entry.
     *
     * @param seeds the announcement addresses of some entries
     * @param storeAddress the address of the store, or of a proxy to it
     */
    public PlatformSettings entry(int entry, List<String> seeds, String storeAddress) {
        return settings("entry-" + entry, host(FIRST_ENTRY_HOST + entry), seeds, storeAddress);
    }

    /**
     * Returns the settings of a sidecar.
     *
     * @param seeds the announcement addresses of some entries
     * @param storeAddress the address of the store, or of a proxy to it
     */
    public PlatformSettings sidecar(int sidecar, List<String> seeds, String storeAddress) {
        String ip = host(FIRST_SIDECAR_HOST + sidecar);
        return settings("sidecar-" + sidecar, ip, seeds, storeAddress);
    }

    private PlatformSettings settings(
            String name, String ip, List<String> seeds, String storeAddress) {
        return new PlatformSettings(
                name,
                "here",
                ip,
                ip + ":" + CALLER_PORT,
                ip + ":" + READINESS_PORT,
                ip + ":" + ANNOUNCEMENT_PORT,
                PEER_PORT,
                seeds,
                storeAddress,
                WorkerModel.LEASE_MILLIS,
                RESEND_MILLIS,
                mGraceSeconds,
                "",
                "");
    }

    /**
     * Returns the configuration of a worker.
     *
     * @param announcedAddress the address for orders that the worker announces, as host:port;
     *     differs from its own address behind a proxy
     */
    public WorkerStandIn.WorkerConfig worker(int worker, String announcedAddress) {
        return new WorkerStandIn.WorkerConfig(
                "worker-" + worker,
                SERVICE,
                workerAddress(worker),
                announcedAddress,
                host(FIRST_SIDECAR_HOST + worker) + ":" + ANNOUNCEMENT_PORT,
                WORKER_CORES,
                SPEEDS[worker % SPEEDS.length]);
    }

    /**
     * Returns a configuration in JSON.
     *
     * @param queues the names of its queues, whose paths start with /NAME/
     */
    public static String configuration(long version, List<String> queues) {
        List<Map<String, Object>> routes = queues.stream().map(PlatformFixture::route).toList();
        return Json.write(Map.of("version", version, "routes", routes));
    }

    private static Map<String, Object> route(String name) {
        return Map.of(
                "name",
                name,
                "host",
                HOST,
                "prefix",
                "/" + name + "/",
                "service",
                SERVICE,
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

    /**
     * The work of a job: a number of identical tasks.
     *
     * @param tasks the number of tasks
     * @param millis the run time of each task at speed 1, in milliseconds
     * @param cores the cores that each task uses
     */
    public record Work(int tasks, double millis, double cores) {}

    /**
     * Returns the request that submits a job.
     *
     * @param id the id of the job, 16 hexadecimal digits
     * @param declaredTimeoutMillis how long the caller declares that it waits, in milliseconds
     * @param deadline when the request times out, in milliseconds since the epoch
     */
    public HttpRequest jobRequest(
            int entry,
            String queue,
            String id,
            Work work,
            long declaredTimeoutMillis,
            long deadline) {
        Map<String, Object> step =
                Map.of(
                        "count", work.tasks(),
                        "cpu", Math.round(work.cores() * MILLICORES_PER_CORE),
                        "memMb", 64,
                        "estimateMs", Math.round(work.millis()));
        Map<String, Object> body =
                Map.of(
                        "spec",
                        work.millis() + " " + work.cores(),
                        "steps",
                        List.of(step),
                        "bestEffort",
                        true);
        Map<String, String> headers =
                Map.of(
                        "Host",
                        HOST,
                        "X-Jackdawsaddle-Deadline-Ms",
                        Long.toString(declaredTimeoutMillis));
        String path = "/" + queue + "/" + id;
        return new HttpRequest(
                "POST", callerAddress(entry), path, headers, Json.write(body), deadline);
    }

    private String host(int number) {
        return "127." + mNetwork + ".0." + number;
    }

    /** Returns the host of the proxy to a host. */
    private String proxyHost(int number) {
        return "127." + mNetwork + ".1." + number;
    }

    private String peerProxyHost(int sidecar, int entry) {
        int subnet = FIRST_PEER_PROXY_SUBNET + sidecar;
        return "127." + mNetwork + "." + subnet + "." + (FIRST_ENTRY_HOST + entry);
    }
}
