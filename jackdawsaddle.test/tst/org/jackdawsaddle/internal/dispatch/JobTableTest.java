package org.jackdawsaddle.internal.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.SubmissionId;
import org.testng.annotations.Test;

/**
 * Tests that {@link JobTable} stays bounded, and keeps new answers, in a process that runs long.
 */
public class JobTableTest {
    private static final long START_MILLIS = 1_800_000_000_000L;
    private static final long DAY_SECONDS = 86_400;
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Answers come for so long, and then none for as long, so that all of them expire. */
    private static final long BUSY_SECONDS = 600;

    /** Ids are kept for this long at most: their lifetime and the clock skew, rounded up. */
    private static final int MAX_KEPT_SECONDS = 320;

    private final Random mRandom = new Random(1);

    @Test
    public void keepsNewAnswersAfterADayOfExpiredOnes() {
        JobTable table = new JobTable();
        JobAnswer answer = new JobAnswer.Complete(List.of("x".repeat(200)));
        for (long second = 0; second < DAY_SECONDS; second++) {
            long now = START_MILLIS + second * MILLIS_PER_SECOND;
            table.forgetExpired(now);
            if (second / BUSY_SECONDS % 2 == 1) {
                continue;
            }
            SubmissionId id = SubmissionId.create(now, mRandom);
            table.remember(new EndedJob(id, 0, answer));
            assertEquals(table.endedJob(id).orElseThrow().answer(), answer, "second " + second);
        }
        assertTrue(table.endedCount() <= MAX_KEPT_SECONDS, "ended: " + table.endedCount());
        assertTrue(
                table.retainedAnswerCount() <= MAX_KEPT_SECONDS,
                "retained: " + table.retainedAnswerCount());
    }

    @Test
    public void keepsNoRecordOfAnswersWithoutContent() {
        JobTable table = new JobTable();
        JobAnswer refusal = new JobAnswer.Pending(0, 1);
        for (long second = 0; second < DAY_SECONDS; second++) {
            long now = START_MILLIS + second * MILLIS_PER_SECOND;
            table.remember(new EndedJob(SubmissionId.create(now, mRandom), 0, refusal));
            table.forgetExpired(now);
        }
        assertEquals(table.retainedAnswerCount(), 0);
    }
}
