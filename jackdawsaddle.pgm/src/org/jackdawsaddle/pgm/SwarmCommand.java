package org.jackdawsaddle.pgm;

import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.jackdawsaddle.internal.http.HttpClient;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.standin.load.SidecarSwarm;
import org.jackdawsaddle.standin.load.SteadyLoad;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs many sidecars in one process, to measure the load that they cause on an entry. */
@Command(
        name = "swarm",
        mixinStandardHelpOptions = true,
        description = "Runs many sidecars whose targets complete every task at once.")
final class SwarmCommand implements Callable<Integer> {
    private static final long MILLIS_PER_SECOND = 1_000;

    @Option(names = "--sidecars", required = true, description = "Number of sidecars.")
    private int mSidecarCount;

    @Option(
            names = "--entries",
            required = true,
            split = ",",
            description = "Peer addresses of entries.")
    private List<String> mPeerAddresses;

    @Option(
            names = "--http",
            split = ",",
            description = "HTTP addresses of entries, needed if --rate is above 0.")
    private List<String> mHttpAddresses;

    @Option(names = "--service", defaultValue = "ledger", description = "Service of the targets.")
    private String mService;

    @Option(names = "--team", defaultValue = "offices", description = "Team of the jobs.")
    private String mTeam;

    @Option(names = "--kind", defaultValue = "breeding", description = "Kind of the jobs.")
    private String mKind;

    @Option(names = "--slots", defaultValue = "8", description = "Slots per target.")
    private int mSlotsPerTarget;

    @Option(
            names = "--settle",
            defaultValue = "8",
            description = "Seconds to wait before the load, for the sidecars to connect.")
    private int mSettleSeconds;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "Duration of the load in seconds.")
    private int mLoadSeconds;

    @Option(names = "--rate", defaultValue = "0", description = "Tasks per second, 0 for no load.")
    private double mTasksPerSecond;

    @Option(names = "--tasks", defaultValue = "20", description = "Tasks per job.")
    private int mTasksPerJob;

    @Option(
            names = "--callers",
            defaultValue = "64",
            description = "Maximum number of jobs in flight.")
    private int mMaxJobsInFlight;

    @Spec private CommandSpec mSpec;

    @Override
    public Integer call() throws InterruptedException {
        UnixClock clock = new UnixClock();
        SidecarSwarm swarm =
                new SidecarSwarm(mSidecarCount, mService, mSlotsPerTarget, mPeerAddresses, clock);
        swarm.start();
        Thread.sleep(mSettleSeconds * MILLIS_PER_SECOND);
        if (mTasksPerSecond > 0) {
            runLoad(clock);
        } else {
            Thread.sleep(mLoadSeconds * MILLIS_PER_SECOND);
        }
        swarm.stop();
        return Main.OK;
    }

    private void runLoad(UnixClock clock) {
        HttpClient httpClient = new HttpClient(clock, 1);
        httpClient.start();
        SteadyLoad load =
                new SteadyLoad(httpClient, clock, mHttpAddresses, mTeam, mKind, mTasksPerJob);
        load.run(mLoadSeconds, mTasksPerSecond, mMaxJobsInFlight);
        PrintWriter out = mSpec.commandLine().getOut();
        out.printf(
                Locale.ROOT,
                "{\"tasks\": %d, \"refused\": %d, \"medianMillis\": %.2f, \"p99Millis\": %.2f}%n",
                load.completeTasks(),
                load.incompleteJobs(),
                load.responses().median(),
                load.responses().p99());
        out.flush();
        httpClient.stop();
    }
}
