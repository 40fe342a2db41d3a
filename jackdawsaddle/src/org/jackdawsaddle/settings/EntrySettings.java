package org.jackdawsaddle.settings;

/**
 * The settings of an entry.
 *
 * @param name the name of this instance, unique among entries
 * @param dataCentre the data centre of this instance
 * @param httpAddress the listening address for callers and operators, as host:port
 * @param peerAddress the listening address for sidecars and other entries, as host:port
 * @param advertisedAddress the address at which others reach the peer address, empty if the same
 * @param storeAddress the address of the platform's store, as host:port
 * @param adminToken the bearer token for administration requests; empty rejects all of them
 * @param partitions the number of partitions, used only while the store has no layout
 * @param queueOrder the order of queued jobs: FIRST_COME, SMALL_JOBS_FIRST or EARLIEST_DEADLINE
 * @param maxBodyBytes the maximum size of a request body
 * @param drainMillis how long a shutdown waits for jobs that have not ended
 * @param traceFile the file that events and actions are recorded in for replay; empty for none
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

    /** Returns the address to which sidecars and other entries are told to connect. */
    public String reachableAddress() {
        return advertisedAddress.isEmpty() ? peerAddress : advertisedAddress;
    }
}
