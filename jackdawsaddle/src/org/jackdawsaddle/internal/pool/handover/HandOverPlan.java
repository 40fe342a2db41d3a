package org.jackdawsaddle.internal.pool.handover;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.EntryLoad;
import org.jackdawsaddle.internal.pool.MixedHash;

/**
 * Which jobs an entry hands over, and to whom.
 *
 * <p>Every entry keeps what is its fair share of the load of all entries, by the processor cores
 * that it may use, and hands the rest over to larger entries that have less than theirs, in
 * proportion to what each lacks. As all entries reckon with the same figures, several that hand
 * over at a time do not overload a receiver. Entries of equal size hand nothing over, nor does one
 * whose load is small in itself.
 */
public final class HandOverPlan {
    /** Hands nothing over. */
    public static final HandOverPlan NONE = new HandOverPlan(0, Map.of());

    /** What an entry keeps, as a multiple of its share by processor cores. */
    private static final double TOLERANCE = 1.25;

    /** Tasks a second that one processor core serves without delay, whatever others have. */
    private static final double UNLOADED_TASKS_PER_CORE = 400;

    /** The number of values of an int, to turn a hash into a number from 0 to 1. */
    private static final double INT_RANGE = 4_294_967_296.0;

    private final double mShare;

    /** The tasks a second that each receiver lacks. */
    private final Map<NodeId, Double> mRooms;

    private HandOverPlan(double share, Map<NodeId, Double> rooms) {
        mShare = share;
        mRooms = rooms;
    }

    /**
     * Returns the plan of an entry.
     *
     * @param own its own load
     * @param others the loads of the other entries that it can reach
     */
    public static HandOverPlan of(EntryLoad own, Map<NodeId, EntryLoad> others) {
        if (own.processorCores() <= 0) {
            return NONE;
        }
        double fair = fairTasksPerCore(own, others);
        double excess = own.tasksPerSecond() - fair * own.processorCores();
        if (excess <= 0) {
            return NONE;
        }
        Map<NodeId, Double> rooms = rooms(own, others, fair);
        double room = rooms.values().stream().mapToDouble(Double::doubleValue).sum();
        return room <= 0
                ? NONE
                : new HandOverPlan(Math.min(excess, room) / own.tasksPerSecond(), rooms);
    }

    /** Returns how many tasks a second an entry should have at most for each of its cores. */
    private static double fairTasksPerCore(EntryLoad own, Map<NodeId, EntryLoad> others) {
        double cores = own.processorCores();
        double tasks = own.tasksPerSecond();
        for (EntryLoad other : others.values()) {
            cores += other.processorCores();
            tasks += other.processorCores() > 0 ? other.tasksPerSecond() : 0;
        }
        return Math.max(UNLOADED_TASKS_PER_CORE, TOLERANCE * tasks / cores);
    }

    /** Returns how many tasks a second each larger entry lacks, if any. */
    private static Map<NodeId, Double> rooms(
            EntryLoad own, Map<NodeId, EntryLoad> others, double fair) {
        Map<NodeId, Double> rooms = new LinkedHashMap<>();
        others.forEach((entry, load) -> {
            double room = fair * load.processorCores() - load.tasksPerSecond();
            if (load.processorCores() > own.processorCores() && room > 0) {
                rooms.put(entry, room);
            }
        });
        return rooms;
    }

    /** Returns the share of the jobs that are handed over. */
    public double share() {
        return mShare;
    }

    /** Returns the entry to hand a job over to; empty to keep it. The same for each request. */
    public Optional<NodeId> receiverOf(String job) {
        double draw = Integer.toUnsignedLong(MixedHash.of(job)) / INT_RANGE;
        if (draw >= mShare) {
            return Optional.empty();
        }
        double room = mRooms.values().stream().mapToDouble(Double::doubleValue).sum();
        double position = draw / mShare * room;
        NodeId receiver = null;
        for (Map.Entry<NodeId, Double> candidate : mRooms.entrySet()) {
            receiver = candidate.getKey();
            position -= candidate.getValue();
            if (position < 0) {
                break;
            }
        }
        return Optional.ofNullable(receiver);
    }
}
