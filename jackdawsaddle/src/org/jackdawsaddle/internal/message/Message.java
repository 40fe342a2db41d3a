package org.jackdawsaddle.internal.message;

/** A message between two processes of the system. */
public sealed interface Message permits SidecarMessage, EntryMessage, PeerMessage, PoolMessage {}
