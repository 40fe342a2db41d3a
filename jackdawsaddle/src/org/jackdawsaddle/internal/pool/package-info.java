/**
 * An entry of a pool: which jobs it admits, in which order and on which targets their tasks are
 * placed, which jobs it refuses, and which sidecars it watches for that. {@link
 * org.jackdawsaddle.internal.pool.PoolEntryCore} is the way in: it takes events and the time, and
 * returns actions. Whether a task really starts is decided by the sidecar, in the package {@code
 * sidecar}; sockets belong to the package {@code connection}.
 */
package org.jackdawsaddle.internal.pool;
