package review3;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: entries and sidecars as processes, started with the commands and
 * the settings templates of the deploy file, beside stand-ins of the store and of the runners.
 */
final class Fleet implements AutoCloseable {
    static final String HOST = "nony24.example";
    static final String PREFIX = "/lohu930/";
    private static final String SERVICE = "huvo11a";
    private static final int FRONT_PORT = 18_161;
    private static final int READY_PORT = 18_167;
    private static final int CONTROL_PORT = 18_166;
    private static final int RUNNER_PORT = 18_080;
    private static final int STORE_PORT = 18_169;
    private static final int PEER_PORT = 17_720;
    private static final int METRICS_PORT = 9_464;
    private static final int FIRST_SIDECAR = 100;
    private static final int STORE_HOST = 250;
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([A-Za-z.0-9]+)(\\|json)?}}");

    private final Record mRecord;
    private final String mNetwork;
    private final Path mDirectory;
    private final StoreStub mStore;
    private final Links mLinks;
    private final List<RunnerStub> mRunners = new ArrayList<>();
    private final Map<String, Process> mProcesses = new LinkedHashMap<>();

    /**
     * Starts a fleet.
     *
     * @param kinds the kind of each runner
     */
    Fleet(Record record, int entries, List<String> kinds) throws IOException {
        int runners = kinds.size();
        mRecord = record;
        mNetwork = freeNetwork(entries, runners);
        mDirectory = Files.createTempDirectory("review-3");
        mLinks =
                new Links(
                        mNetwork.substring(0, mNetwork.lastIndexOf('.')),
                        PEER_PORT,
                        runners,
                        entries);
        mStore = new StoreStub(host(STORE_HOST) + ":" + STORE_PORT);
        mStore.put("op/config", Json.write(configuration()).getBytes());
        for (int entry = 0; entry < entries; entry++) {
            startRole("entry", "edge-" + entry, host(1 + entry), List.of(host(1), host(2)));
        }
        for (int runner = 0; runner < runners; runner++) {
            String ip = host(FIRST_SIDECAR + runner);
            List<String> seeds = List.of(mLinks.host(runner, 0), mLinks.host(runner, 1));
            startRole("sidecar", "side-" + runner, ip, seeds);
            mRunners.add(
                    new RunnerStub(
                            "i-" + runner,
                            ip + ":" + RUNNER_PORT,
                            ip + ":" + CONTROL_PORT,
                            SERVICE,
                            kinds.get(runner),
                            record));
        }
    }

    private static Map<String, Object> configuration() {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", "r-73hh2b9");
        route.put("host", HOST);
        route.put("prefix", PREFIX);
        route.put("type", "non_idempotent");
        route.put("timeoutMs", 1500);
        route.put("targetDurationMs", 60);
        route.put("priority", 1);
        route.put("service", SERVICE);
        route.put("maxAttempts", 4);
        route.put("stretch", 1.6);
        return Map.of(
                "version", 7, "routes", List.of(route), "services",
                List.of(Map.of("name", SERVICE, "admissionControl", false)), "limits", Map.of());
    }

    /** Waits until all entries are ready. */
    void awaitReady(int entries) throws InterruptedException {
        for (int entry = 0; entry < entries; entry++) {
            String address = host(1 + entry) + ":" + READY_PORT;
            int status = 0;
            while (status != 200) {
                if (mRecord.now() > 30_000) {
                    throw new IllegalStateException("entry " + entry + " does not get ready");
                }
                Thread.sleep(50);
                status =
                        Http.send(address, "GET", "/ready", Map.of("Host", address), "", 1_000)
                                .status();
            }
        }
        Thread.sleep(2_000);
        mRecord.line("all entries are ready");
    }

    String front(int entry) {
        return host(1 + entry) + ":" + FRONT_PORT;
    }

    /** Returns how many orders all runners have got. */
    int orders() {
        return mRunners.stream().mapToInt(RunnerStub::orders).sum();
    }

    /** Returns how many orders all runners have left unanswered. */
    int unanswered() {
        return mRunners.stream().mapToInt(RunnerStub::unanswered).sum();
    }

    Links links() {
        return mLinks;
    }

    RunnerStub runner(int number) {
        return mRunners.get(number);
    }

    List<RunnerStub.Run> runs() {
        List<RunnerStub.Run> runs = new ArrayList<>();
        mRunners.forEach(runner -> runs.addAll(runner.runs()));
        return runs;
    }

    /** Sends a signal to a process of the fleet. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        long pid = mProcesses.get(name).pid();
        mRecord.line("%s gets SIG%s", name, signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).inheritIO().start().waitFor();
    }

    private void startRole(String role, String name, String ip, List<String> seeds)
            throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("node", name);
        fields.put("zone", "zone-1");
        fields.put("ip", ip);
        fields.put(
                "listen",
                Map.of(
                        "front", ip + ":" + FRONT_PORT,
                        "ready", ip + ":" + READY_PORT,
                        "control", ip + ":" + CONTROL_PORT));
        fields.put("internalPortRange", List.of(PEER_PORT, PEER_PORT + 15));
        fields.put("seeds", seeds.stream().map(host -> host + ":" + CONTROL_PORT).toList());
        fields.put("platform", Map.of("address", host(STORE_HOST) + ":" + STORE_PORT));
        fields.put("bounds", Map.of("holdMaxMs", 1000, "resendMs", 1300, "graceS", 6));
        fields.put("limits", Map.of("cores", 1, "cpuShare", 0.75));
        Path settings = mDirectory.resolve(name + ".json");
        Files.writeString(settings, render(Path.of("deploy", role + ".json"), fields));
        ProcessBuilder builder = new ProcessBuilder(command(role));
        builder.environment().put("JACKDAWSADDLE_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(mDirectory.resolve(name + ".log").toFile());
        mProcesses.put(name, builder.start());
    }

    /** Returns the command of a role in the deploy file. */
    private static String[] command(String role) throws IOException {
        String text = Files.readString(Path.of("deploy", "system.toml"));
        String section = text.substring(text.indexOf("[roles." + role + "]"));
        Matcher run = Pattern.compile("run = \"([^\"]*)\"").matcher(section);
        if (!run.find()) {
            throw new IllegalStateException("no command of role " + role);
        }
        return run.group(1).split(" ");
    }

    private static String render(Path template, Map<String, Object> fields) throws IOException {
        return PLACEHOLDER.matcher(Files.readString(template)).replaceAll(match -> {
            Object value = fields;
            for (String name : match.group(1).split("\\.")) {
                value =
                        value instanceof List<?> list
                                ? list.get(Integer.parseInt(name))
                                : ((Map<?, ?>) value).get(name);
            }
            String text = match.group(2) == null ? String.valueOf(value) : Json.write(value);
            return Matcher.quoteReplacement(text);
        });
    }

    private String host(int number) {
        return mNetwork + "." + number;
    }

    /** Returns the first three octets of loopback addresses on which all ports are free. */
    private static String freeNetwork(int entries, int runners) {
        Random random = new Random();
        for (int attempt = 0; attempt < 50; attempt++) {
            String network = "127." + (80 + random.nextInt(150)) + "." + Links.ENTRY_OCTET;
            boolean free = free(network, STORE_HOST, STORE_PORT);
            for (int entry = 0; entry < entries; entry++) {
                free =
                        free && free(network, 1 + entry, FRONT_PORT, READY_PORT, CONTROL_PORT,
                                PEER_PORT, METRICS_PORT);
            }
            for (int runner = 0; runner < runners; runner++) {
                free =
                        free && free(network, FIRST_SIDECAR + runner, CONTROL_PORT, RUNNER_PORT,
                                METRICS_PORT);
            }
            if (free) {
                return network;
            }
        }
        throw new IllegalStateException("no free ports");
    }

    private static boolean free(String network, int host, int... ports) {
        for (int port : ports) {
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(
                        new InetSocketAddress(InetAddress.getByName(network + "." + host), port));
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    /** Returns the directory with the settings and the logs of the processes. */
    Path directory() {
        return mDirectory;
    }

    /** Ends all processes that this fleet has started. */
    @Override
    public void close() {
        mRunners.forEach(RunnerStub::close);
        mProcesses.values().forEach(Process::destroyForcibly);
        for (Process process : mProcesses.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        mStore.close();
        try {
            mLinks.close();
        } catch (IOException e) {
            mRecord.line("could not close a proxy: %s", e);
        }
    }
}
