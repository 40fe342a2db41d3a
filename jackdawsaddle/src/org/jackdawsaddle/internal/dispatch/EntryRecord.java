package org.jackdawsaddle.internal.dispatch;

import org.jackdawsaddle.NodeId;

/**
 * An entry as the store keeps it under a lease.
 *
 * @param node the process
 * @param peerAddress where peers and sidecars reach it, as host:port
 * @param httpAddress where callers and operators reach it, as host:port
 * @param dataCentre where it stands
 */
public record EntryRecord(NodeId node, String peerAddress, String httpAddress, String dataCentre) {}
