import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: the store, edge machines with an entry each, and side machines
 * with a sidecar and a runner each. The programs are started with the commands and the templates of
 * the deploy file, as the platform does; each machine has a loopback address of its own. Bounds are
 * those of the site fjordhorn-ledger.
 */
final class Deployment implements AutoCloseable {
    static final String SERVICE = "oksebok";
    static final int INTERNAL_PORT = 7720;
    private static final int FRONT_PORT = 8161;
    private static final int READY_PORT = 8167;
    private static final int CONTROL_PORT = 8166;
    private static final int STORE_PORT = 8169;
    private static final int RUNNER_PORT = 8080;

    /** The route of {@link #configure}. */
    record Route(String name, String prefix) {}

    private static final String[] ZONES = {"bergen-a", "forde-b", "voss-c", "stord-d"};

    /** One process of the system, which can be sent signals. */
    static final class Machine {
        final String name;
        final String ip;
        Process process;

        Machine(String name, String ip) {
            this.name = name;
            this.ip = ip;
        }

        String front() {
            return ip + ":" + FRONT_PORT;
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }
    }

    final CaseRecord record;
    final List<Machine> edges = new ArrayList<>();
    final List<Machine> sides = new ArrayList<>();
    final List<Runner> runners = new ArrayList<>();
    final Store store;

    private final Path mRoot = Path.of("").toAbsolutePath();
    private final Path mTemp;
    private final String mNet;
    private final List<Process> mProcesses = new ArrayList<>();
    private final boolean mEntriesProxied;
    private final Map<Machine, List<Proxy>> mEntryProxies = new LinkedHashMap<>();

    /**
     * Starts a deployment.
     *
     * @param entriesProxied whether each sidecar reaches the entries through proxies of its own
     */
    Deployment(CaseRecord record, int edgeCount, int sideCount, boolean entriesProxied)
            throws Exception {
        this.record = record;
        mEntriesProxied = entriesProxied;
        mTemp = Files.createTempDirectory("review");
        mNet = freeNet();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        store = new Store(storeAddress());
        for (int i = 0; i < edgeCount; i++) {
            String zone = ZONES[i % ZONES.length];
            edges.add(new Machine("edge-" + zone + "-" + (i / ZONES.length + 1), mNet + "1." + (i + 1)));
        }
        for (int i = 0; i < sideCount; i++) {
            String zone = ZONES[i % ZONES.length];
            sides.add(new Machine("side-" + zone + "-" + (i / ZONES.length + 1), mNet + "2." + (i + 1)));
        }
    }

    /** Returns the proxies between a sidecar and the entries, in the order of the entries. */
    List<Proxy> entryProxies(Machine side) {
        return mEntryProxies.get(side);
    }

    private int sidecarPeerPort(Machine side) {
        return INTERNAL_PORT + (mEntriesProxied ? 1 + sides.indexOf(side) : 0);
    }

    private String storeAddress() {
        return mNet + "0.1:" + STORE_PORT;
    }

    /** Starts all processes and runners, and waits until every entry is ready. */
    void start() throws Exception {
        for (int i = 0; i < edges.size(); i++) {
            start(edges.get(i), "entry", ZONES[i % ZONES.length]);
        }
        for (int i = 0; i < sides.size(); i++) {
            Machine side = sides.get(i);
            if (mEntriesProxied) {
                mEntryProxies.put(side, new ArrayList<>());
                for (Machine edge : edges) {
                    mEntryProxies.get(side).add(Proxy.beforeEntry(edge.ip, sidecarPeerPort(side)));
                }
            }
            start(side, "sidecar", ZONES[i % ZONES.length]);
            runners.add(
                    new Runner(
                            "i-" + side.name,
                            mNet + "3." + (i + 1) + ":" + RUNNER_PORT,
                            side.ip + ":" + CONTROL_PORT,
                            SERVICE,
                            ZONES[i % ZONES.length],
                            64_000,
                            1_500,
                            record));
        }
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        for (Machine edge : edges) {
            while (!ready(edge)) {
                if (System.nanoTime() > end) {
                    throw new IllegalStateException(edge.name + " does not become ready");
                }
                Thread.sleep(100);
            }
        }
        Thread.sleep(2_000);
    }

    /** Writes a configuration, as the operator does. */
    void configure(long version, Route... routes) {
        List<Object> rows = new ArrayList<>();
        for (Route route : routes) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("name", route.name());
            row.put("host", Jobs.HOST);
            row.put("prefix", route.prefix());
            row.put("service", SERVICE);
            row.put("priority", 2);
            row.put("maxAttempts", 2);
            row.put("stretch", 1.6);
            row.put("timeoutMs", 1_500);
            row.put("targetDurationMs", 60);
            rows.add(row);
        }
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("version", version);
        config.put("routes", rows);
        config.put("services", List.of(Map.of("name", SERVICE, "admissionControl", false)));
        config.put("limits", Map.of());
        store.put("op/config", Json.write(config));
    }

    private boolean ready(Machine edge) {
        try (Http.Channel channel = new Http.Channel(edge.ip + ":" + READY_PORT)) {
            return channel.call("GET", edge.ip, "/ready", "", Map.of(), 1_000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private void start(Machine machine, String role, String zone) throws IOException {
        String deploy = Files.readString(mRoot.resolve("deploy/system.toml"));
        String table = deploy.substring(deploy.indexOf("[roles." + role + "]"));
        String run = field(table, "run");
        String template = Files.readString(mRoot.resolve(field(table, "template")));
        Path settings = mTemp.resolve(machine.name + ".json");
        Files.writeString(settings, render(template, settings(machine, role, zone)));
        ProcessBuilder builder = new ProcessBuilder(run.split(" "));
        builder.directory(mRoot.toFile());
        Map<String, String> caller = Map.copyOf(System.getenv());
        builder.environment().clear();
        for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (caller.containsKey(name)) {
                builder.environment().put(name, caller.get(name));
            }
        }
        builder.environment().put("JACKDAWSADDLE_CONFIG", settings.toString());
        File log = mTemp.resolve(machine.name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.to(log));
        machine.process = builder.start();
        synchronized (mProcesses) {
            mProcesses.add(machine.process);
        }
    }

    private static String field(String table, String name) {
        Matcher matcher = Pattern.compile("(?m)^" + name + " = \"(.*)\"$").matcher(table);
        if (!matcher.find()) {
            throw new IllegalStateException("deploy file without " + name);
        }
        return matcher.group(1);
    }

    private Map<String, Object> settings(Machine machine, String role, String zone) {
        List<Object> seeds = new ArrayList<>();
        edges.stream().limit(3).forEach(edge -> seeds.add(edge.ip + ":" + CONTROL_PORT));
        long peerPort = role.equals("sidecar") ? sidecarPeerPort(machine) : INTERNAL_PORT;
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("node", machine.name);
        settings.put("zone", zone);
        settings.put("ip", machine.ip);
        settings.put(
                "listen",
                Map.of(
                        "front", machine.front(),
                        "ready", machine.ip + ":" + READY_PORT,
                        "control", machine.ip + ":" + CONTROL_PORT));
        settings.put("internalPortRange", List.of(peerPort, INTERNAL_PORT + 15L));
        settings.put("seeds", seeds);
        settings.put("platform", Map.of("address", storeAddress()));
        settings.put(
                "bounds", Map.of("holdMaxMs", 1_000L, "resendMs", 1_300L, "graceS", 6L));
        return settings;
    }

    /** Fills in the placeholders {@code {{a.b|json}}} of a template. */
    private static String render(String template, Map<String, Object> settings) {
        return Pattern.compile("\\{\\{([a-zA-Z0-9.]+)\\|json\\}\\}")
                .matcher(template)
                .replaceAll(match -> {
                    Object value = settings;
                    for (String part : match.group(1).split("\\.")) {
                        value =
                                value instanceof List<?> list
                                        ? list.get(Integer.parseInt(part))
                                        : ((Map<?, ?>) value).get(part);
                    }
                    return Matcher.quoteReplacement(Json.write(value));
                });
    }

    /** Returns the first two numbers of a loopback network that no one uses, with a dot behind. */
    private static String freeNet() {
        for (int attempt = 0; attempt < 100; attempt++) {
            String net = "127." + ThreadLocalRandom.current().nextInt(20, 250) + ".";
            boolean free = true;
            for (int port : new int[] {FRONT_PORT, CONTROL_PORT, INTERNAL_PORT, STORE_PORT, 9464}) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(net + "1.1", port));
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return net;
            }
        }
        throw new IllegalStateException("no free loopback network");
    }

    private void killAll() {
        synchronized (mProcesses) {
            mProcesses.forEach(Process::destroyForcibly);
        }
    }

    /** Kills all processes that were started and removes the temporary folder. */
    @Override
    public void close() throws Exception {
        killAll();
        for (Process process : mProcesses) {
            process.waitFor(10, TimeUnit.SECONDS);
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs in " + mTemp);
            return;
        }
        try (var files = Files.walk(mTemp)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
        }
    }
}
