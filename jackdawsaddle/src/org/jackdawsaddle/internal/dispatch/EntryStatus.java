package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import java.util.Optional;

/**
 * What operators see of one entry.
 *
 * @param entry the name of the process
 * @param incarnation its life
 * @param revision the configuration in force
 * @param ready whether callers should be sent here
 * @param partitions the partitions that it owns
 * @param targets the targets of these partitions
 */
public record EntryStatus(
        String entry,
        long incarnation,
        long revision,
        boolean ready,
        List<PartitionStatus> partitions,
        List<TargetStatus> targets) {

    /**
     * One partition.
     *
     * @param index its index
     * @param epoch the number of the ownership
     * @param phase how far a takeover has come
     * @param jobsInHand jobs that have not ended
     * @param tasksQueued tasks that wait for a slot
     * @param idsRemembered ended jobs that are still known
     */
    public record PartitionStatus(
            int index,
            long epoch,
            String phase,
            int jobsInHand,
            int tasksQueued,
            int idsRemembered) {}

    /**
     * One target.
     *
     * @param target its name
     * @param service its service
     * @param dataCentre where it stands
     * @param state whether and why it takes work
     * @param slots the most tasks at a time
     * @param running tasks that hold a slot
     * @param speed the learned speed, 1 for the declared one
     * @param revision the configuration that its sidecar has confirmed
     * @param usable whether the owner may start tasks on it now
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

    /** Returns the targets that have not confirmed the entry's revision. */
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
                partition.mJobs.active().size(),
                queued,
                partition.mJobs.remembered());
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
        return entryState.mOwnedPartitions.get(view.mPartition).mayUse(view.node())
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
