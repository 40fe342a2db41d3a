import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback: the project's entries and sidecars as separate processes, started
 * with the commands of the deploy file and the settings of its templates, a store and runners. Each
 * machine has a loopback address of its own, as the ports are the same on all.
 */
final class Rig implements AutoCloseable {
    static final String HOST = "ledger.example";
    static final String PREFIX = "/hire/";
    static final String SERVICE = "oksebok";

    /** A machine of the system with the process of its role. */
    final class Machine {
        final String mName;
        final String mRole;
        final String mIp;
        final Path mSettings;
        Process mProcess;

        Machine(String name, String role, String ip, Path settings) {
            mName = name;
            mRole = role;
            mIp = ip;
            mSettings = settings;
        }

        String front() {
            return mIp + ":" + mPort;
        }

        String ready() {
            return mIp + ":" + (mPort + 1);
        }

        String control() {
            return mIp + ":" + (mPort + 2);
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command(mRole));
            builder.directory(mRoot.toFile());
            builder.environment().put("JACKDAWSADDLE_CONFIG", mSettings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(mFolder.resolve(mName + ".log").toFile()));
            mProcess = builder.start();
            mRecord.line("process of " + mName + " starts");
        }

        /** Kills the process (SIGKILL). */
        void kill() throws InterruptedException {
            mProcess.destroyForcibly().waitFor();
            mRecord.line("process of " + mName + " is killed");
        }
    }

    final Record mRecord;
    final Store mStore;
    final StoreProxy mStoreProxy;
    final List<Machine> mEntries = new ArrayList<>();
    final List<Machine> mSidecars = new ArrayList<>();
    final List<Runner> mRunners = new ArrayList<>();
    private final Path mRoot;
    private final Path mFolder;
    private final String mNetwork;
    private final int mPort;
    private final int mAppPort;

    /** Creates the machines, and starts the store and the runners but no process. */
    Rig(Record record, int entries, int sidecars, int runnerCpu) throws IOException {
        mRecord = record;
        mRoot = Path.of("").toAbsolutePath();
        mFolder = Files.createTempDirectory("review");
        mNetwork = freeNetwork();
        mPort = freePort();
        mAppPort = mPort + 4;
        mStore = new Store(mNetwork + 1, mPort + 3);
        mStoreProxy = new StoreProxy(mNetwork + 2, mNetwork + 1, mPort + 3);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            seeds.add("\"" + mNetwork + (10 + i) + ":" + (mPort + 2) + "\"");
        }
        for (int i = 0; i < entries; i++) {
            mEntries.add(machine("edge-" + (i + 1), "entry", mNetwork + (10 + i), seeds));
        }
        for (int i = 0; i < sidecars; i++) {
            Machine machine = machine("side-" + (i + 1), "sidecar", mNetwork + (30 + i), seeds);
            mSidecars.add(machine);
            mRunners.add(
                    new Runner(
                            record,
                            "i-" + (i + 1),
                            SERVICE,
                            machine.mIp + ":" + mAppPort,
                            machine.control(),
                            runnerCpu));
        }
    }

    private Machine machine(String name, String role, String ip, List<String> seeds)
            throws IOException {
        Path settings = mFolder.resolve(name + ".json");
        Machine machine = new Machine(name, role, ip, settings);
        String text =
                Files.readString(mRoot.resolve("deploy/" + role + ".json"))
                        .replace("{{node|json}}", quoted(name))
                        .replace("{{zone|json}}", quoted("z1"))
                        .replace("{{ip|json}}", quoted(ip))
                        .replace("{{listen.front|json}}", quoted(machine.front()))
                        .replace("{{listen.ready|json}}", quoted(machine.ready()))
                        .replace("{{listen.control|json}}", quoted(machine.control()))
                        .replace("{{internalPortRange.0|json}}", Integer.toString(mPort + 5))
                        .replace("{{seeds|json}}", "[" + String.join(",", seeds) + "]")
                        .replace(
                                "{{platform.address|json}}",
                                quoted(mNetwork + 2 + ":" + (mPort + 3)))
                        .replace("{{bounds.holdMaxMs|json}}", "1000")
                        .replace("{{bounds.resendMs|json}}", "1300")
                        .replace("{{bounds.graceS|json}}", "6");
        Files.writeString(settings, text);
        return machine;
    }

    private static String quoted(String text) {
        return "\"" + text + "\"";
    }

    /** Returns the command of a role in the deploy file. */
    private List<String> command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(mRoot.resolve("deploy/system.toml"))) {
            inRole = line.startsWith("[") ? line.equals("[roles." + role + "]") : inRole;
            if (inRole && line.startsWith("run = ")) {
                return List.of(line.substring(7, line.length() - 1).split(" "));
            }
        }
        throw new IOException("the deploy file has no role " + role);
    }

    private static String freeNetwork() throws IOException {
        for (int attempt = 0; attempt < 50; attempt++) {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            String network = "127." + random.nextInt(20, 250) + "." + random.nextInt(1, 250) + ".";
            // The roles serve their metrics on this port of each machine.
            try {
                new ServerSocket(9464, 1, InetAddress.getByName(network + 10)).close();
                return network;
            } catch (IOException e) {
                continue;
            }
        }
        throw new IOException("no free loopback network");
    }

    private static int freePort() {
        return ThreadLocalRandom.current().nextInt(20_000, 30_000);
    }

    /** Writes a configuration with one queue for each prefix, as the operator does. */
    void configure(long version, String... prefixes) {
        StringBuilder routes = new StringBuilder();
        for (String prefix : prefixes) {
            routes.append(routes.isEmpty() ? "" : ",")
                    .append("{\"name\":\"queue-" + prefix.replace("/", "") + "\",\"host\":\"" + HOST)
                    .append("\",\"prefix\":\"" + prefix + "\",\"service\":\"" + SERVICE)
                    .append("\",\"priority\":0,\"maxAttempts\":3,\"stretch\":1.6,")
                    .append("\"timeoutMs\":30000,\"targetDurationMs\":20000}");
        }
        mStore.put(
                "op/config",
                "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[{\"name\":\""
                        + SERVICE + "\",\"admissionControl\":false}],\"limits\":{}}");
        mRecord.line("op/config has version " + version + " with " + String.join(" ", prefixes));
    }

    /** Returns the machines of the system. */
    List<Machine> machines() {
        List<Machine> machines = new ArrayList<>(mEntries);
        machines.addAll(mSidecars);
        return machines;
    }

    /** Returns a loopback address of this deployment at which nothing listens. */
    String unusedAddress(int number) {
        return mNetwork + (60 + number) + ":" + mAppPort;
    }

    void startAll() throws IOException {
        for (Machine machine : machines()) {
            machine.start();
        }
    }

    /** Waits until all entries are ready; returns whether they are in time. */
    boolean awaitReady(long waitMillis) {
        long until = mRecord.now() + waitMillis;
        while (mRecord.now() < until) {
            boolean ready = true;
            for (Machine entry : mEntries) {
                ready = ready
                        && Http.call(entry.ready(), "GET", "/ready", HOST, "", 500).status() == 200;
            }
            if (ready) {
                mRecord.line("all entries are ready");
                return true;
            }
            Record.sleep(50);
        }
        return false;
    }

    /** Returns the body of a best-effort job of one step. */
    static String job(int tasks, int cpu, int millis) {
        return "{\"spec\":\"" + millis + "\",\"bestEffort\":true,\"steps\":[{\"count\":" + tasks
                + ",\"cpu\":" + cpu + ",\"memMb\":64,\"estimateMs\":" + millis + "}]}";
    }

    /** Sends a request of a client and records it with its answer. */
    Http.Response send(Machine entry, String method, String id, String body, int waitMillis) {
        return sendTo(entry, method, PREFIX + id, body, waitMillis);
    }

    /** The same for any path. */
    Http.Response sendTo(
            Machine entry, String method, String path, String body, int waitMillis) {
        mRecord.line("client sends " + method + " " + path + " to " + entry.mName);
        Http.Response response = Http.call(entry.front(), method, path, HOST, body, waitMillis);
        mRecord.line(
                "client has for " + method + " " + path + " from " + entry.mName + ": "
                        + response.status() + " " + response.body());
        return response;
    }

    /** Ends all processes and stand-ins. */
    @Override
    public void close() throws IOException {
        endProcesses();
        mRunners.forEach(Runner::stop);
        mStoreProxy.stop();
        mStore.stop();
    }

    private void endProcesses() {
        for (Machine machine : machines()) {
            if (machine.mProcess != null) {
                machine.mProcess.destroyForcibly();
                try {
                    machine.mProcess.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }
}
