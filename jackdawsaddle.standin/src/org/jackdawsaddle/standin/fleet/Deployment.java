package org.jackdawsaddle.standin.fleet;

import java.util.List;
import org.jackdawsaddle.config.Demand;

/** The two current deployments of the product, with their sizes. */
public enum Deployment {
    /** The ledger of bull hires in Fjordhorn. */
    FJORDHORN(
            "ledger",
            "fjordhorn",
            "availability",
            "hire",
            "lookup",
            List.of("bergen-a", "forde-b", "voss-c", "stord-d"),
            new Demand(64, 262_144, 0)),
    /** The course bookings of Quetzaltenango. */
    QUETZALTENANGO(
            "inscribe",
            "talla-litica",
            "seat-hold",
            "injury-log",
            "timetable",
            List.of("xela-centro", "almolonga", "zunil", "cantel"),
            new Demand(32, 65_536, 0));

    private static final int TARGET_COUNT = 11;
    private static final int SLOTS_PER_TARGET = 8;
    private static final long TYPICAL_MILLIS = 300;
    private static final long TIMEOUT_MILLIS = 30_000;

    private final String mService;
    private final String mTeam;
    private final String mBatchKind;
    private final String mWriteKind;
    private final String mReadKind;
    private final List<String> mDataCentres;
    private final Demand mMachineCapacity;

    Deployment(
            String service,
            String team,
            String batchKind,
            String writeKind,
            String readKind,
            List<String> dataCentres,
            Demand machineCapacity) {
        mService = service;
        mTeam = team;
        mBatchKind = batchKind;
        mWriteKind = writeKind;
        mReadKind = readKind;
        mDataCentres = dataCentres;
        mMachineCapacity = machineCapacity;
    }

    /** Returns the service that the targets run. */
    public String service() {
        return mService;
    }

    /** Returns the team that submits. */
    public String team() {
        return mTeam;
    }

    /** Returns the kind of jobs with many tasks. */
    public String batchKind() {
        return mBatchKind;
    }

    /** Returns the kind of single requests that must not run twice. */
    public String writeKind() {
        return mWriteKind;
    }

    /** Returns the kind of single requests that may be retried. */
    public String readKind() {
        return mReadKind;
    }

    /** Returns the data centres. */
    public List<String> dataCentres() {
        return mDataCentres;
    }

    /** Returns the resources of the machine behind each target. */
    public Demand machineCapacity() {
        return mMachineCapacity;
    }

    /** Returns the number of targets. */
    public int targetCount() {
        return TARGET_COUNT;
    }

    /** Returns the number of slots of each target. */
    public int slotsPerTarget() {
        return SLOTS_PER_TARGET;
    }

    /** Returns the typical run time of a task in the configuration, in milliseconds. */
    public long typicalMillis() {
        return TYPICAL_MILLIS;
    }

    /** Returns the timeout of a job in the configuration, in milliseconds. */
    public long timeoutMillis() {
        return TIMEOUT_MILLIS;
    }
}
