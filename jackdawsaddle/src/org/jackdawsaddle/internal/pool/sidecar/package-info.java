/**
 * A sidecar of a pool: which runs its target is told to start and stop, when a run counts as ended,
 * and what each entry is told. {@link org.jackdawsaddle.internal.pool.sidecar.PoolSidecarCore} is
 * the way in: it takes events and the time, and returns actions. It places no tasks; entries do.
 */
package org.jackdawsaddle.internal.pool.sidecar;
