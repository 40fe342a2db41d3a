package org.jackdawsaddle.config;

import java.util.List;
import java.util.Optional;

/**
 * All objects of a configuration, which are validated and published together.
 *
 * @param targets the objects of targets that are drained or limited in slots; others need none
 */
public record ConfigurationSet(
        List<ServiceObject> services,
        List<TargetObject> targets,
        List<JobKind> jobKinds,
        List<LimitObject> limits,
        List<TeamObject> teams) {
    /** A set without objects. */
    public static final ConfigurationSet EMPTY = new ConfigurationSet(null, null, null, null, null);

    /** Makes immutable copies of the lists; an absent list becomes an empty one. */
    public ConfigurationSet {
        services = services == null ? List.of() : List.copyOf(services);
        targets = targets == null ? List.of() : List.copyOf(targets);
        jobKinds = jobKinds == null ? List.of() : List.copyOf(jobKinds);
        limits = limits == null ? List.of() : List.copyOf(limits);
        teams = teams == null ? List.of() : List.copyOf(teams);
    }

    /** Returns the service with the given name, if any. */
    public Optional<ServiceObject> service(String name) {
        return find(services, name);
    }

    /** Returns the configuration object of the target with the given name, if any. */
    public Optional<TargetObject> target(String name) {
        return find(targets, name);
    }

    /** Returns the job kind with the given name, if any. */
    public Optional<JobKind> jobKind(String name) {
        return find(jobKinds, name);
    }

    /** Returns the team with the given name, if any. */
    public Optional<TeamObject> team(String name) {
        return find(teams, name);
    }

    private static <T extends NamedObject> Optional<T> find(List<T> objects, String name) {
        return objects.stream().filter(object -> object.name().equals(name)).findFirst();
    }
}
