package org.jackdawsaddle.pgm;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.jackdawsaddle.internal.json.StrictJson;
import org.jackdawsaddle.standin.fleet.Deployment;
import org.jackdawsaddle.standin.load.Measurement;
import org.jackdawsaddle.standin.load.Policy;
import org.jackdawsaddle.standin.load.PolicyResult;
import org.jackdawsaddle.standin.load.TargetFault;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Measures response times and messages per task of the product (policy JACKDAWSADDLE) and of
 * simulated policies. The exit code is 1 if any task was started twice.
 */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description = "Measures response times, as ratios to the ideal, and messages per task.")
final class MeasureCommand implements Callable<Integer> {
    private static final double QUICK_DURATION_MILLIS = 32_000;
    private static final double FULL_DURATION_MILLIS = 128_000;

    /**
     * The figures of one policy, a row of the table and an element of the JSON file. The components
     * with "OverIdeal" are ratios of response times to those of the ideal policy; {@link
     * PolicyResult} describes the others.
     */
    private record Row(
            Policy policy,
            double medianOverIdeal,
            double meanOverIdeal,
            double p99OverIdeal,
            double p999OverIdeal,
            double meanMillis,
            double messagesPerTask,
            Map<String, Double> messagesByType,
            long answered,
            long notRun,
            double refusalP99Millis,
            long failed,
            long doubled,
            double goodput) {}

    @Option(
            names = "--quick",
            description = "Use 32 s of workload, not 128 s; expected to take under 45 s.")
    private boolean mQuick;

    @Option(
            names = "--policy",
            description = "Measure one policy besides IDEAL: ${COMPLETION-CANDIDATES}.")
    private Policy mPolicy;

    @Option(
            names = "--load",
            description = "Load as a share of the capacity. Default: ${DEFAULT-VALUE}.")
    private double mLoad = 0.8;

    @Option(names = "--deployment", description = "Fleet to measure: ${COMPLETION-CANDIDATES}.")
    private Deployment mDeployment = Deployment.FJORDHORN;

    @Option(
            names = "--timeout-millis",
            description = "Timeout of a job in milliseconds. Default: ${DEFAULT-VALUE}.")
    private long mTimeoutMillis = 30_000;

    @Option(
            names = "--fault",
            description =
                    "Fault injected into a target 3 s before measuring: ${COMPLETION-CANDIDATES}.")
    private TargetFault mFault = TargetFault.NONE;

    @Option(names = "--entries", description = "Number of entries. Default: ${DEFAULT-VALUE}.")
    private int mEntryCount = 3;

    @Option(names = "--seed", description = "Seed of the workload. Default: ${DEFAULT-VALUE}.")
    private long mSeed = 1;

    @Option(
            names = "--queue-order",
            description =
                    "FIRST_COME, SMALL_JOBS_FIRST or EARLIEST_DEADLINE. Default: ${DEFAULT-VALUE}.")
    private String mQueueOrder = "FIRST_COME";

    @Option(
            names = "--json",
            paramLabel = "FILE",
            description = "Also write the rows to this file.")
    private Path mJsonFile;

    @Spec private CommandSpec mSpec;

    @Override
    public Integer call() throws IOException {
        Measurement measurement =
                new Measurement(
                        mDeployment,
                        mLoad,
                        mEntryCount,
                        mSeed,
                        mQuick ? QUICK_DURATION_MILLIS : FULL_DURATION_MILLIS,
                        mTimeoutMillis,
                        mFault,
                        mQueueOrder);
        Optional<Policy> only =
                mQuick && mPolicy == null ? Optional.empty() : Optional.ofNullable(mPolicy);
        List<PolicyResult> results = measurement.run(only);
        List<Row> rows = new ArrayList<>();
        results.forEach(result -> rows.add(row(results.getFirst(), result)));
        print(rows);
        if (mJsonFile != null) {
            Files.writeString(mJsonFile, StrictJson.pretty(rows) + "\n");
        }
        return rows.stream().allMatch(row -> row.doubled() == 0) ? Main.OK : Main.NEGATIVE_RESULT;
    }

    private static Row row(PolicyResult ideal, PolicyResult result) {
        return new Row(
                result.policy(),
                result.responses().median() / ideal.responses().median(),
                result.responses().mean() / ideal.responses().mean(),
                result.responses().p99() / ideal.responses().p99(),
                result.responses().p999() / ideal.responses().p999(),
                result.responses().mean(),
                result.messagesPerTask(),
                result.messagesByType(),
                result.responses().count(),
                result.notRun(),
                result.refusalP99Millis(),
                result.failed(),
                result.duplicateStarts(),
                result.goodput());
    }

    private void print(List<Row> rows) {
        PrintWriter out = mSpec.commandLine().getOut();
        out.printf(
                Locale.ROOT,
                "%-15s %7s %7s %7s %7s %9s %9s %7s %8s %7s %8s%n",
                "policy",
                "median",
                "mean",
                "p99",
                "p99.9",
                "msgs/task",
                "answered",
                "not-run",
                "refusal",
                "failed",
                "doubled");
        for (Row row : rows) {
            out.printf(
                    Locale.ROOT,
                    "%-15s %7.3f %7.3f %7.3f %7.3f %9.3f %9d %7d %6.1fms %7d %8d%n",
                    row.policy().name().toLowerCase(Locale.ROOT),
                    row.medianOverIdeal(),
                    row.meanOverIdeal(),
                    row.p99OverIdeal(),
                    row.p999OverIdeal(),
                    row.messagesPerTask(),
                    row.answered(),
                    row.notRun(),
                    row.refusalP99Millis(),
                    row.failed(),
                    row.doubled());
        }
        Row last = rows.getLast();
        last.messagesByType()
                .forEach((type, count) -> out.printf(Locale.ROOT, "  %-24s %.4f%n", type, count));
        out.printf(Locale.ROOT, "goodput over capacity %.3f%n", last.goodput());
        out.printf(
                Locale.ROOT,
                "response median %.3f p99 %.3f messages/task %.3f doubled %d%n",
                last.medianOverIdeal(),
                last.p99OverIdeal(),
                last.messagesPerTask(),
                last.doubled());
        out.flush();
    }
}
