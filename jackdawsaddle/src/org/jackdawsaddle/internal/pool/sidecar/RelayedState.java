package org.jackdawsaddle.internal.pool.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.pool.evacuation.EvacuationState;
import org.jackdawsaddle.pool.PoolConfiguration;
import org.jackdawsaddle.pool.PoolQueue;

/**
 * The newest configuration and evacuation that entries have sent to a sidecar, which passes them on
 * to entries that have older ones: those may have started while the store is unavailable.
 */
final class RelayedState {
    private final EvacuationState mEvacuation = new EvacuationState();
    private Optional<PoolMessage.ConfigurationPush> mConfiguration = Optional.empty();

    /** The services that the configuration names; empty until they are asked for. */
    private Optional<Set<String>> mServices = Optional.empty();

    /** Takes over a configuration if it is newer; returns whether it is. */
    boolean onConfiguration(NodeId source, PoolMessage.ConfigurationPush push) {
        long before = configurationVersion();
        if (push.version() <= before) {
            return false;
        }
        mConfiguration = Optional.of(push);
        mServices = Optional.empty();
        EventLog.line(Event.CONFIGURATION_APPLIED)
                .with("version", push.version())
                .with("before", before)
                .with("source", source)
                .write();
        return true;
    }

    /**
     * Takes over an evacuation if it is newer, and logs whether it changes anything for a data
     * centre.
     *
     * @param activeRuns how many runs its target has, for the log
     */
    void onEvacuation(
            NodeId source, PoolMessage.EvacuationPush push, String dataCentre, int activeRuns) {
        boolean before = evacuated(dataCentre);
        mEvacuation.onReceived(push.evacuation());
        if (evacuated(dataCentre) != before) {
            EventLog.line(Event.SIDECAR_EVACUATED)
                    .with("evacuated", !before)
                    .with("revision", push.evacuation().revision())
                    .with("source", source)
                    .with("runs", activeRuns)
                    .write();
        }
    }

    /** Returns the version of the configuration; 0 if there is none. */
    long configurationVersion() {
        return mConfiguration.map(PoolMessage.ConfigurationPush::version).orElse(0L);
    }

    /** Returns the revision of the evacuation; 0 if there is none. */
    long evacuationRevision() {
        return mEvacuation.current().revision();
    }

    /** Returns whether the targets of a data centre must get no new tasks. */
    boolean evacuated(String dataCentre) {
        return mEvacuation.current().includes(dataCentre);
    }

    /** Returns whether the configuration names a service; false without a configuration. */
    boolean namesService(String service) {
        if (mServices.isEmpty()) {
            mServices = mConfiguration.map(RelayedState::services);
        }
        return mServices.filter(services -> services.contains(service)).isPresent();
    }

    /** Returns whether the configuration does not name a service; false without a configuration. */
    boolean contradicts(String service) {
        return mConfiguration.isPresent() && !namesService(service);
    }

    private static Set<String> services(PoolMessage.ConfigurationPush push) {
        return Json.read(push.text(), PoolConfiguration.class).queues().stream()
                .map(PoolQueue::service)
                .collect(Collectors.toSet());
    }

    /** Returns what the sender of a heartbeat has not got yet. */
    List<PoolMessage> newerThan(PoolMessage.Ping ping) {
        List<PoolMessage> newer = new ArrayList<>();
        mConfiguration
                .filter(push -> ping.configurationVersion() < push.version())
                .ifPresent(newer::add);
        if (mEvacuation.outdated(ping.evacuationRevision())) {
            newer.add(new PoolMessage.EvacuationPush(mEvacuation.current()));
        }
        return newer;
    }
}
