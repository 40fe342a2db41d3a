package review3;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** The rule TWICE for jobs that need not be stored, from what the runners have seen. */
final class TwiceCheck {
    private TwiceCheck() {}

    /** Returns whether no task had two runs at a time, and records those that had. */
    static boolean held(Record record, List<RunnerStub.Run> runs) {
        Map<String, List<RunnerStub.Run>> byTask =
                runs.stream().collect(Collectors.groupingBy(run -> run.mTask));
        boolean held = true;
        for (List<RunnerStub.Run> ofTask : byTask.values()) {
            List<RunnerStub.Run> inOrder = new ArrayList<>(ofTask);
            inOrder.sort(Comparator.comparingLong(run -> run.mStartedAt));
            for (int next = 1; next < inOrder.size(); next++) {
                RunnerStub.Run first = inOrder.get(next - 1);
                RunnerStub.Run second = inOrder.get(next);
                if (first.mEndedAt < 0 || second.mStartedAt < first.mEndedAt) {
                    record.line(
                            "TWICE: %s runs on %s from %d to %d ms (%s), and on %s from %d ms",
                            first.mTask, first.mRunner, first.mStartedAt, first.mEndedAt,
                            first.mHow, second.mRunner, second.mStartedAt);
                    held = false;
                }
            }
        }
        return held;
    }
}
