package org.jackdawsaddle.standin.fleet;

import java.util.ArrayList;
import java.util.List;
import org.jackdawsaddle.config.ConfigurationSet;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.config.JobKind;
import org.jackdawsaddle.config.ServiceObject;
import org.jackdawsaddle.config.TeamObject;

/**
 * The specification of a fleet in one process.
 *
 * @param entries the number of entries
 * @param targets the targets, each with a sidecar
 * @param set the configuration to publish
 * @param queueOrder the order in which waiting jobs are served, as in the settings of an entry
 */
public record FleetSpec(
        int entries, List<TargetSpec> targets, ConfigurationSet set, String queueOrder) {
    private static final int CONNECTIONS_PER_TARGET = 64;
    private static final int QUEUE_TASKS = 100_000;
    private static final int MAX_TASKS_PER_JOB = 160;
    private static final double MAX_SPEED = 1.0;
    private static final double MIN_SPEED = 0.3;

    /** Copies the list of targets. */
    public FleetSpec {
        targets = List.copyOf(targets);
    }

    /**
     * Returns the fleet of a deployment. Its targets are listed from the fastest, of speed 1, to
     * the slowest, of speed 0.3, and spread over the data centres in turn.
     *
     * @param entries the number of entries
     */
    public static FleetSpec deployment(Deployment deployment, int entries) {
        List<TargetSpec> targets = new ArrayList<>();
        for (int index = 0; index < deployment.targetCount(); index++) {
            double speedStep = (MAX_SPEED - MIN_SPEED) / (deployment.targetCount() - 1);
            String dataCentre =
                    deployment.dataCentres().get(index % deployment.dataCentres().size());
            targets.add(
                    new TargetSpec(
                            dataCentre + "-" + index,
                            deployment.service(),
                            dataCentre,
                            deployment.slotsPerTarget(),
                            CONNECTIONS_PER_TARGET,
                            deployment.machineCapacity(),
                            MAX_SPEED - speedStep * index));
        }
        return new FleetSpec(entries, targets, set(deployment), "FIRST_COME");
    }

    /** Returns the same fleet with another queue order. */
    public FleetSpec withQueueOrder(String order) {
        return new FleetSpec(entries, targets, set, order);
    }

    private static ConfigurationSet set(Deployment deployment) {
        List<JobKind> kinds =
                List.of(
                        new JobKind(
                                deployment.batchKind(),
                                deployment.service(),
                                false,
                                MAX_TASKS_PER_JOB,
                                deployment.typicalMillis(),
                                deployment.timeoutMillis(),
                                Demand.NONE),
                        new JobKind(
                                deployment.writeKind(),
                                deployment.service(),
                                false,
                                1,
                                deployment.typicalMillis(),
                                deployment.timeoutMillis(),
                                Demand.NONE),
                        new JobKind(
                                deployment.readKind(),
                                deployment.service(),
                                true,
                                1,
                                deployment.typicalMillis(),
                                deployment.timeoutMillis(),
                                Demand.NONE));
        return new ConfigurationSet(
                List.of(new ServiceObject(deployment.service(), 1, QUEUE_TASKS)),
                List.of(),
                kinds,
                List.of(),
                List.of(new TeamObject(deployment.team(), 0)));
    }
}
