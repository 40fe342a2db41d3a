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

/** Holds many sidecars in one process, for measurements of an entry. */
@Command(
        name = "swarm",
        mixinStandardHelpOptions = true,
        description = "Holds many sidecars with targets that end every task at once.")
final class SwarmCommand implements Callable<Integer> {
    private static final long MILLIS_PER_SECOND = 1_000;

    @Option(names = "--sidecars", required = true, description = "How many.")
    private int mSidecars;

    @Option(names = "--entries", required = true, split = ",", description = "Peer addresses.")
    private List<String> mPeerAddresses;

    @Option(names = "--http", split = ",", description = "HTTP addresses, for a load.")
    private List<String> mHttpAddresses;

    @Option(names = "--service", defaultValue = "ledger", description = "Their service.")
    private String mService;

    @Option(names = "--team", defaultValue = "offices", description = "The team of the load.")
    private String mTeam;

    @Option(names = "--kind", defaultValue = "breeding", description = "The kind of the load.")
    private String mKind;

    @Option(names = "--slots", defaultValue = "8", description = "Slots of each target.")
    private int mSlots;

    @Option(names = "--settle", defaultValue = "8", description = "Seconds before the load.")
    private int mSettleSeconds;

    @Option(names = "--seconds", defaultValue = "10", description = "Seconds of the load.")
    private int mLoadSeconds;

    @Option(names = "--rate", defaultValue = "0", description = "Tasks a second, 0 for none.")
    private double mTasksPerSecond;

    @Option(names = "--tasks", defaultValue = "20", description = "Tasks of a job.")
    private int mTasksPerJob;

    @Option(names = "--callers", defaultValue = "64", description = "Most jobs open at a time.")
    private int mMaxOpenJobs;

    @Spec private CommandSpec mSpec;

    @Override
    public Integer call() throws InterruptedException {
        UnixClock clock = new UnixClock();
        SidecarSwarm swarm = new SidecarSwarm(mSidecars, mService, mSlots, mPeerAddresses, clock);
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
        load.run(mLoadSeconds, mTasksPerSecond, mMaxOpenJobs);
        PrintWriter out = mSpec.commandLine().getOut();
        out.printf(
                Locale.ROOT,
                "{\"tasks\": %d, \"refused\": %d, \"medianMillis\": %.2f, \"p99Millis\": %.2f}%n",
                load.tasksAnswered(),
                load.jobsRefused(),
                load.responses().median(),
                load.responses().p99());
        out.flush();
        httpClient.stop();
    }
}
