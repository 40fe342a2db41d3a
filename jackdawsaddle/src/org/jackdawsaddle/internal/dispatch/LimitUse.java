package org.jackdawsaddle.internal.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jackdawsaddle.config.ConfigurationSet;
import org.jackdawsaddle.config.LimitObject;
import org.jackdawsaddle.config.TeamObject;

/**
 * Counts the tasks of the admitted jobs of one partition that have not ended, by team and by job
 * kind, and checks them against the quotas of teams and the limits of job kinds.
 *
 * <p>Partitions need not coordinate: each enforces a share of every quota and limit, which is
 * divided by the number of partitions of the job's service and rounded up. The tasks of a team
 * count towards its quota whatever their service.
 */
final class LimitUse {
    private record KindAndTeam(String kind, String team) {}

    private final Map<String, Integer> mByTeam = new HashMap<>();
    private final Map<String, Integer> mByKind = new HashMap<>();
    private final Map<KindAndTeam, Integer> mByKindAndTeam = new HashMap<>();

    /**
     * Returns a description of the first quota or limit whose share the job would exceed, or empty
     * if it exceeds none. A team with a quota of 0 has no quota.
     *
     * @param shares the number of partitions of the job's service
     */
    Optional<String> exceeded(Job job, ConfigurationSet set, int shares) {
        String team = job.mRequest.team();
        Optional<TeamObject> quota = set.team(team).filter(object -> object.tasksInHand() > 0);
        int teamUse = mByTeam.getOrDefault(team, 0) + job.taskCount();
        if (quota.isPresent() && teamUse > share(quota.get().tasksInHand(), shares)) {
            return Optional.of("team " + team);
        }
        return set.limits().stream()
                .filter(limit -> limit.kind().equals(job.mKind.name()))
                .filter(limit -> limit.team().isEmpty() || limit.team().equals(team))
                .filter(limit -> use(limit) + job.taskCount() > share(limit.tasksInHand(), shares))
                .map(limit -> "limit " + limit.name())
                .findFirst();
    }

    void acquire(Job job) {
        count(job, job.taskCount());
    }

    void release(Job job) {
        count(job, -job.taskCount());
    }

    private void count(Job job, int tasks) {
        String team = job.mRequest.team();
        String kind = job.mKind.name();
        mByTeam.merge(team, tasks, Integer::sum);
        mByKind.merge(kind, tasks, Integer::sum);
        mByKindAndTeam.merge(new KindAndTeam(kind, team), tasks, Integer::sum);
    }

    private int use(LimitObject limit) {
        return limit.team().isEmpty()
                ? mByKind.getOrDefault(limit.kind(), 0)
                : mByKindAndTeam.getOrDefault(new KindAndTeam(limit.kind(), limit.team()), 0);
    }

    private static int share(int limit, int shares) {
        return Math.ceilDiv(limit, shares);
    }
}
