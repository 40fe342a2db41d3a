package org.jackdawsaddle.standin.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.standin.fleet.Deployment;
import org.jackdawsaddle.standin.fleet.FleetSpec;
import org.jackdawsaddle.standin.fleet.LocalFleet;

/**
 * A comparison of policies on the same workload. The product, {@link Policy#JACKDAWSADDLE}, is
 * measured on a local fleet; the other policies are simulated.
 *
 * @param deployment the deployment whose fleet is measured
 * @param load the fraction of the capacity that the workload uses
 * @param entries the number of entries
 * @param seed the seed of the workload and of the random choices of the simulated policies
 * @param durationMillis the length of the workload, warm-up included, in milliseconds
 * @param timeoutMillis the timeout of each job that is submitted to the product, counted from its
 *     arrival at the entry, in milliseconds
 * @param fault the fault that is injected into one target of the product's fleet before the warm-up
 *     ends
 * @param queueOrder the order in which the product serves waiting jobs: FIRST_COME,
 *     SMALL_JOBS_FIRST or EARLIEST_DEADLINE
 */
public record Measurement(
        Deployment deployment,
        double load,
        int entries,
        long seed,
        double durationMillis,
        long timeoutMillis,
        TargetFault fault,
        String queueOrder) {
    private static final double WARM_UP_MILLIS = 8_000;

    /**
     * Runs the policies on the workload.
     *
     * @param only the policy to run besides the ideal; empty for all policies
     * @return the results, that of the ideal first
     */
    public List<PolicyResult> run(Optional<Policy> only) {
        FleetSpec spec = FleetSpec.deployment(deployment, entries).withQueueOrder(queueOrder);
        Workload workload = Workload.generate(seed, spec, load, durationMillis);
        List<PolicyResult> results = new ArrayList<>();
        for (Policy policy : Policy.values()) {
            if (policy == Policy.IDEAL || only.isEmpty() || only.get() == policy) {
                results.add(run(policy, spec, workload));
            }
        }
        return results;
    }

    private PolicyResult run(Policy policy, FleetSpec spec, Workload workload) {
        if (policy != Policy.JACKDAWSADDLE) {
            return new PolicySimulator(policy, workload, spec, WARM_UP_MILLIS, seed).run();
        }
        LocalFleet fleet = new LocalFleet(spec);
        fleet.start();
        try {
            return new OpenLoopLoad(
                            fleet, deployment, workload, WARM_UP_MILLIS, timeoutMillis, fault)
                    .run();
        } finally {
            fleet.stop();
        }
    }
}
