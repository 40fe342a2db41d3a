package org.jackdawsaddle.config;

import java.util.List;
import java.util.Optional;

/**
 * The whole set of named objects, checked and published together.
 *
 * @param services the services
 * @param targets the targets that operators say something of
 * @param jobKinds the job kinds
 * @param limits the limits
 * @param teams the teams
 */
public record ConfigurationSet(
        List<ServiceObject> services,
        List<TargetObject> targets,
        List<JobKind> jobKinds,
        List<LimitObject> limits,
        List<TeamObject> teams) {
    /** The set without objects. */
    public static final ConfigurationSet EMPTY = new ConfigurationSet(null, null, null, null, null);

    /** Copies the lists; an absent list is empty. */
    public ConfigurationSet {
        services = services == null ? List.of() : List.copyOf(services);
        targets = targets == null ? List.of() : List.copyOf(targets);
        jobKinds = jobKinds == null ? List.of() : List.copyOf(jobKinds);
        limits = limits == null ? List.of() : List.copyOf(limits);
        teams = teams == null ? List.of() : List.copyOf(teams);
    }

    /** Finds a service by its name. */
    public Optional<ServiceObject> service(String name) {
        return find(services, name);
    }

    /** Finds a target by its name. */
    public Optional<TargetObject> target(String name) {
        return find(targets, name);
    }

    /** Finds a job kind by its name. */
    public Optional<JobKind> jobKind(String name) {
        return find(jobKinds, name);
    }

    /** Finds a team by its name. */
    public Optional<TeamObject> team(String name) {
        return find(teams, name);
    }

    private static <T extends NamedObject> Optional<T> find(List<T> objects, String name) {
        return objects.stream().filter(object -> object.name().equals(name)).findFirst();
    }
}
