package org.jackdawsaddle.internal.pool.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which tasks {@link Quarantine} gives up, and where it lets tasks run. */
public class QuarantineTest {
    private static final long NOW = 1_000_000;
    private static final List<String> SIDECARS = List.of("a", "b", "c", "d");

    private Quarantine mQuarantine;

    @BeforeMethod
    public void createQuarantine() {
        mQuarantine = new Quarantine();
        mQuarantine.selectMembers(List.of(SIDECARS));
    }

    /** An innocent task that meets two crashes must not fail its job. */
    @Test
    public void givesUpATaskAtTheThirdCrashAndNotBefore() {
        mQuarantine.recordCrash("task", "queue", "a", NOW);
        mQuarantine.recordCrash("other", "queue", "a", NOW);
        mQuarantine.recordCrash("task", "queue", "b", NOW);
        assertFalse(mQuarantine.givenUp("task"), "both may have had another cause");
        mQuarantine.recordCrash("task", "queue", "c", NOW);
        assertTrue(mQuarantine.givenUp("task"));
        assertFalse(mQuarantine.givenUp("other"));
    }

    @Test
    public void countsARepeatedReportOnce() {
        mQuarantine.recordCrash("task", "queue", "a", NOW);
        assertFalse(mQuarantine.recordCrash("task", "queue", "a", NOW));
        assertEquals(mQuarantine.crashes("task"), 1);
    }

    @Test
    public void clearsATaskThatSucceeds() {
        mQuarantine.recordCrash("task", "queue", "a", NOW);
        mQuarantine.recordDone("task");
        assertFalse(mQuarantine.suspected("task"));
    }

    @Test
    public void neverReturnsATaskToATargetThatCrashedUnderIt() {
        mQuarantine.recordCrash("task", "queue", "a", NOW);
        assertFalse(mQuarantine.admits("task", "queue", "a"));
        assertTrue(mQuarantine.admits("task", "queue", "b"));
    }

    @Test
    public void confinesAQueueToTargetsThatNoOtherQueueUses() {
        mQuarantine.recordCrash("task", "bad", "a", NOW);
        assertFalse(mQuarantine.confined("bad"), "one crash may have any cause");
        mQuarantine.recordCrash("task", "bad", "b", NOW);
        for (String sidecar : SIDECARS) {
            boolean confined = mQuarantine.admits("x", "bad", sidecar);
            assertEquals(mQuarantine.admits("y", "good", sidecar), !confined);
        }
        assertEquals(
                SIDECARS.stream().filter(name -> mQuarantine.admits("x", "bad", name)).count(), 1);
        mQuarantine.onTick(NOW + 10_000);
        assertTrue(SIDECARS.stream().allMatch(name -> mQuarantine.admits("x", "bad", name)));
    }

    /** A service with few targets keeps them while a service with many is confined to some. */
    @Test
    public void admitsTheConfinedQueueOfAServiceWithFewTargetsSomewhere() {
        List<String> few = List.of("e", "f", "g");
        mQuarantine.selectMembers(List.of(SIDECARS, few));
        mQuarantine.recordCrash("task", "bad", "e", NOW);
        mQuarantine.recordCrash("task", "bad", "f", NOW);
        assertTrue(few.stream().anyMatch(sidecar -> mQuarantine.admits("x", "bad", sidecar)));
    }
}
