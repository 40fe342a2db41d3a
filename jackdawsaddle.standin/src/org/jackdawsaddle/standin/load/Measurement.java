package org.jackdawsaddle.standin.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.standin.fleet.Deployment;
import org.jackdawsaddle.standin.fleet.FleetSpec;
import org.jackdawsaddle.standin.fleet.LocalFleet;

/**
 * A comparison of policies on the same workload.
 *
 * @param deployment the deployment
 * @param load the fraction of the capacity that the workload uses
 * @param entries the number of entries
 * @param seed the seed of the workload
 * @param durationMillis the length of the workload, warm-up included
 * @param timeoutMillis the timeout of each job of the product, counted from its arrival
 * @param fault the fault that is injected into one target before the measured part
 * @param queueOrder the order in which the product serves waiting jobs
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

    /** Runs the ideal and the given policy, or all policies; returns the ideal's result first. */
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
