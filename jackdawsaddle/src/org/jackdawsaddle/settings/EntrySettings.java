package org.jackdawsaddle.settings;

/**
 * The settings of an entry.
 *
 * @param name the name of the entry, unique among entries
 * @param dataCentre the data centre of the entry
 * @param httpAddress the listening address for callers, administration requests, health checks and
 *     metrics, as host:port
 * @param peerAddress the listening address for sidecars and other entries, as host:port
 * @param advertisedAddress the address at which sidecars and other entries reach this entry, as
 *     host:port; empty if it is the peer address
 * @param storeAddress the address of the platform's store, as host:port
 * @param adminToken the bearer token for administration requests; empty rejects all of them
 * @param partitions the number of partitions that all services share, which becomes the layout in
 *     the store; ignored if the store has a layout already, as that never changes
 * @param queueOrder the order of queued jobs: FIRST_COME, SMALL_JOBS_FIRST or EARLIEST_DEADLINE
 * @param maxBodyBytes the maximum size of a request body in bytes
 * @param drainMillis the longest time, in milliseconds, of each of the two waits of a shutdown:
 *     first for HTTP requests in progress, then for the release of the entry's partitions and the
 *     answers to forwarded jobs
 * @param traceFile the file that receives a trace of events and actions for replay; empty for none
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
