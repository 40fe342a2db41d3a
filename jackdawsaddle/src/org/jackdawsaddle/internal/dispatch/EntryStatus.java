package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import java.util.Optional;

/**
 * The status of one entry, for operators.
 *
 * @param entry the name of the process
 * @param incarnation the number that tells this process from earlier ones of the same name
 * @param revision the revision of the configuration in force
 * @param ready whether a configuration is in force and the entry is not shutting down
 * @param partitions the partitions that the entry owns
 * @param targets the known targets of these partitions, connected or not
 */
public record EntryStatus(
        String entry,
        long incarnation,
        long revision,
        boolean ready,
        List<PartitionStatus> partitions,
        List<TargetStatus> targets) {

    /**
     * The status of one partition.
     *
     * @param index the index of the partition
     * @param epoch the epoch of the ownership, which grows by one with each claim
     * @param phase SEALING during the takeover, ACTIVE once tasks may be started
     * @param jobsInHand the number of jobs that have not ended
     * @param tasksQueued the number of tasks that wait for a slot
     * @param idsRemembered the number of ended jobs whose ids are still known
     */
    public record PartitionStatus(
            int index,
            long epoch,
            String phase,
            int jobsInHand,
            int tasksQueued,
            int idsRemembered) {}

    /**
     * The status of one target.
     *
     * @param target the name of the target
     * @param service the service of the target
     * @param dataCentre the data centre of the target
     * @param state "lost" while its sidecar is not connected, "leaving" if the sidecar accepts no
     *     new tasks, because it is shutting down or its target has not announced itself or has
     *     withdrawn; "drained" by the configuration; else "probation" or "serving"
     * @param slots the maximum number of concurrent tasks
     * @param running the number of tasks that were started and are not known to have ended
     * @param speed the learned speed; 1 means that tasks take their declared run time
     * @param revision the configuration revision that the sidecar has confirmed
     * @param usable whether the sidecar is connected and the roster of its partition allows the
     *     owner to start tasks on it; leaving, drain, probation and free slots are not considered
     */
    public record TargetStatus(
            String target,
            String service,
            String dataCentre,
            String state,
            int slots,
            int running,
            double speed,
            long revision,
            boolean usable) {}

    static EntryStatus of(EntryState entryState) {
        List<PartitionStatus> partitions =
                entryState.ownedPartitions().stream().map(EntryStatus::partition).toList();
        List<TargetStatus> targets =
                entryState.mSidecars.values().stream()
                        .filter(view -> entryState.mOwnedPartitions.containsKey(view.mPartition))
                        .map(view -> target(view, usable(entryState, view)))
                        .toList();
        boolean ready = entryState.mHead.revision() > 0 && !entryState.mLeaving;
        return new EntryStatus(
                entryState.self().name(),
                entryState.self().incarnation(),
                entryState.mHead.revision(),
                ready,
                partitions,
                targets);
    }

    /**
     * Returns the names of the targets whose sidecar is connected but has confirmed neither the
     * given configuration revision nor a later one.
     *
     * @param wanted the configuration revision
     */
    public List<String> unconfirmed(long wanted) {
        return targets.stream()
                .filter(target -> target.revision() < wanted && !target.state().equals("lost"))
                .map(TargetStatus::target)
                .toList();
    }

    private static PartitionStatus partition(OwnedPartition partition) {
        int queued = partition.mJobs.queues().values().stream().mapToInt(JobQueue::taskCount).sum();
        return new PartitionStatus(
                partition.mIndex,
                partition.mEpoch,
                partition.mPhase.name(),
                partition.mJobs.activeJobs().size(),
                queued,
                partition.mJobs.endedCount());
    }

    private static TargetStatus target(SidecarView view, boolean usable) {
        return new TargetStatus(
                view.mHello.target(),
                view.mHello.service(),
                view.mHello.dataCentre(),
                state(view),
                view.slots(),
                view.mRunning.size(),
                view.speed(),
                view.mRevision,
                usable);
    }

    private static boolean usable(EntryState entryState, SidecarView view) {
        return entryState.mOwnedPartitions.get(view.mPartition).mayStartOn(view.node())
                && view.mConnected;
    }

    private static String state(SidecarView view) {
        Optional<String> unavailability =
                !view.mConnected
                        ? Optional.of("lost")
                        : !view.mHello.serving()
                                ? Optional.of("leaving")
                                : view.mDrained ? Optional.of("drained") : Optional.empty();
        return unavailability.orElse(view.mHealth.onProbation() ? "probation" : "serving");
    }
}
