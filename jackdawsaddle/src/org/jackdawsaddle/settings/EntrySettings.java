package org.jackdawsaddle.settings;

/**
 * The settings of an entry.
 *
 * @param name the name of this instance, unique among entries
 * @param dataCentre where it stands
 * @param httpAddress where callers and operators reach it, as host:port
 * @param peerAddress where sidecars and other entries reach it, as host:port
 * @param advertisedAddress where others reach the peer address, empty if it is the same
 * @param storeAddress the platform's store, as host:port
 * @param adminToken what operators must send to change anything; empty refuses all changes
 * @param partitions the number of partitions, used only while the store has no layout
 * @param queueOrder FIRST_COME, SMALL_JOBS_FIRST or EARLIEST_DEADLINE
 * @param maxBodyBytes the largest request body
 * @param drainMillis how long a shutdown waits for jobs in hand
 * @param traceFile where to record all decisions for replay; empty for none
 */
public record EntrySettings(
        String name,
        String dataCentre,
        String httpAddress,
        String peerAddress,
        String advertisedAddress,
        String storeAddress,
        String adminToken,
        int partitions,
        String queueOrder,
        long maxBodyBytes,
        long drainMillis,
        String traceFile) {

    /** Returns where sidecars and other entries are told to connect. */
    public String reachableAddress() {
        return advertisedAddress.isEmpty() ? peerAddress : advertisedAddress;
    }
}
