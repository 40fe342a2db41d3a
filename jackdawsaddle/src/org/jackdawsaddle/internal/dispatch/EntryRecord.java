package org.jackdawsaddle.internal.dispatch;

import org.jackdawsaddle.NodeId;

/**
 * The record of an entry in the store, which expires with its lease.
 *
 * @param node the process
 * @param peerAddress the address for peers and sidecars, as host:port
 * @param httpAddress the address for callers and operators, as host:port
 * @param dataCentre the data centre of the process
 */
public record EntryRecord(NodeId node, String peerAddress, String httpAddress, String dataCentre) {}
