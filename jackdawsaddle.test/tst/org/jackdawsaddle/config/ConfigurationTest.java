package org.jackdawsaddle.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.concurrent.CompletionException;
import org.jackdawsaddle.errors.ConfigurationConflictException;
import org.jackdawsaddle.errors.ConfigurationInvalidException;
import org.testng.annotations.Test;

/** Tests the validation, publication and comparison of configuration sets. */
public class ConfigurationTest {
    private final FakeStore mStore = new FakeStore();
    private final ConfigurationPublisher mPublisher = new ConfigurationPublisher(mStore, () -> 1);

    private static ConfigurationSet set(int partitions, String kindService) {
        return new ConfigurationSet(
                List.of(new ServiceObject("ledger", partitions, 100)),
                List.of(new TargetObject("t-1", "ledger", false, 0)),
                List.of(new JobKind("hire", kindService, false, 1, 100, 1_000, null)),
                List.of(new LimitObject("cap", "hire", null, 5)),
                List.of(new TeamObject("offices", 0)));
    }

    @Test
    public void validSetHasNoFindings() {
        assertEquals(ConfigurationChecker.check(set(1, "ledger")), List.of());
    }

    @Test
    public void everyFindingIsListedWithPathAndRemedy() {
        ConfigurationSet invalid =
                new ConfigurationSet(
                        List.of(
                                new ServiceObject("a", 0, 0),
                                new ServiceObject("a", 1, 1),
                                new ServiceObject("Not A Name", 1, 1)),
                        List.of(new TargetObject("t", "nowhere", false, -1)),
                        List.of(
                                new JobKind(
                                        "k", "nowhere", false, 500, 0, -1, new Demand(-1, 0, 0))),
                        List.of(new LimitObject("l", "nothing", "nobody", 0)),
                        List.of(new TeamObject("t", -1)));
        List<Finding> findings = ConfigurationChecker.check(invalid);
        assertEquals(findings.size(), 16, findings.toString());
        assertTrue(findings.stream().noneMatch(finding -> finding.remedy().isBlank()));
        assertTrue(findings.stream().noneMatch(finding -> finding.path().isBlank()));
    }

    @Test
    public void publishedSetComesWithItsAuditRecord() {
        ConfigurationHead before = mPublisher.read().join();
        ConfigurationHead head =
                mPublisher.publish(before.revision(), "p", "ane", "why", set(1, "ledger")).join();
        assertEquals(head.revision(), before.revision() + 1);
        assertEquals(head.audit().getFirst().author(), "ane");
        assertEquals(mPublisher.read().join(), head);
    }

    /**
     * Guards against a second revision if the response to a write is lost although the store has
     * applied it, and the caller repeats the publication.
     */
    @Test
    public void lostWriteResponseIsResolvedByPublicationId() {
        FakeStore store = new FakeStore();
        ConfigurationPublisher publisher = new ConfigurationPublisher(store, () -> 1);
        store.mLoseWriteResponses = true;
        ConfigurationHead head =
                publisher.publish(0, "once", "ane", "why", set(1, "ledger")).join();
        assertEquals(head.revision(), 1);
        ConfigurationHead again =
                publisher.publish(0, "once", "ane", "why", set(1, "ledger")).join();
        assertEquals(again.revision(), 1, "a repeated publication creates no revision");
    }

    /** Another publication takes effect between the read and the write of the tested one. */
    @Test
    public void conflictNamesTheCompetingPublication() {
        FakeStore store = new FakeStore();
        ConfigurationPublisher publisher = new ConfigurationPublisher(store, () -> 1);
        ConfigurationPublisher competingPublisher = new ConfigurationPublisher(store, () -> 1);
        store.mBeforeWrite =
                () -> {
                    store.mBeforeWrite = () -> {};
                    competingPublisher.publish(0, "other", "bo", "first", set(1, "ledger")).join();
                };
        CompletionException failure =
                expectThrows(
                        CompletionException.class,
                        () -> publisher.publish(0, "p", "ane", "why", set(1, "ledger")).join());
        assertTrue(failure.getCause() instanceof ConfigurationConflictException);
        assertTrue(failure.getMessage().contains("by bo (first)"), failure.getMessage());
    }

    @Test
    public void partitionCountOfServiceCannotChange() {
        FakeStore store = new FakeStore();
        ConfigurationPublisher publisher = new ConfigurationPublisher(store, () -> 1);
        publisher.publish(0, "one", "ane", "why", set(1, "ledger")).join();
        CompletionException failure =
                expectThrows(
                        CompletionException.class,
                        () -> publisher.publish(1, "two", "ane", "why", set(2, "ledger")).join());
        assertTrue(failure.getCause() instanceof ConfigurationInvalidException);
    }

    @Test
    public void removedObjectsAreListed() {
        List<String> lines = ConfigurationDiff.lines(set(1, "ledger"), ConfigurationSet.EMPTY);
        assertEquals(lines.size(), 5);
        assertTrue(lines.getFirst().startsWith("- service ledger"));
    }
}
