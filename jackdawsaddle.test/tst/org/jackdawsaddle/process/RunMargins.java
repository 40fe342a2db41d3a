package org.jackdawsaddle.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.jackdawsaddle.standin.platform.RunInterval;
import org.jackdawsaddle.standin.platform.WorkerStandIn;

/** The times between the end of a run and the start of the next run of the same task. */
final class RunMargins {
    /**
     * Two runs of a task that follow each other.
     *
     * @param millis the time between them, in milliseconds; negative if they overlap
     */
    private record Margin(RunInterval first, RunInterval second, long millis) {
        @Override
        public String toString() {
            return String.format(
                    "%s: run %d %d to %s, run %d from %d on: %s",
                    first.task(),
                    first.run(),
                    first.startedAt(),
                    first.endedAt() == RunInterval.NOT_ENDED ? "now" : first.endedAt(),
                    second.run(),
                    second.startedAt(),
                    millis < 0 ? "concurrent" : millis + " ms apart");
        }
    }

    private final long mNow;
    private final List<Margin> mMargins = new ArrayList<>();

    /**
     * Reads the runs of all workers.
     *
     * @param now the end of the runs that are active, in milliseconds since the epoch
     */
    RunMargins(List<WorkerStandIn> workers, long now) {
        mNow = now;
        Map<String, List<RunInterval>> intervalsByTask =
                workers.stream()
                        .flatMap(worker -> worker.intervals().stream())
                        .sorted(Comparator.comparingLong(RunInterval::startedAt))
                        .collect(Collectors.groupingBy(RunInterval::task));
        intervalsByTask.values().forEach(this::addMargins);
    }

    private void addMargins(List<RunInterval> intervals) {
        RunInterval latest = intervals.getFirst();
        for (RunInterval next : intervals.subList(1, intervals.size())) {
            long latestEnd = Math.min(latest.endedAt(), mNow);
            mMargins.add(new Margin(latest, next, next.startedAt() - latestEnd));
            latest = next.endedAt() > latest.endedAt() ? next : latest;
        }
    }

    /** Returns how many runs were not the first one of their task. */
    int repeatedRuns() {
        return mMargins.size();
    }

    /** Returns the shortest time between two runs, in milliseconds; negative if any overlap. */
    OptionalLong smallestMillis() {
        return mMargins.stream().mapToLong(Margin::millis).min();
    }

    /** Returns descriptions of the runs that started before the previous one had ended. */
    List<String> concurrentRuns() {
        return mMargins.stream()
                .filter(margin -> margin.millis() < 0)
                .map(Margin::toString)
                .toList();
    }
}
