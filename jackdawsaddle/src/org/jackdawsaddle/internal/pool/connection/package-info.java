/**
 * The connections between the processes of a pool: {@link
 * org.jackdawsaddle.internal.pool.connection.PoolAcceptor} accepts those of sidecars and other
 * entries, {@link org.jackdawsaddle.internal.pool.connection.PoolDialer} opens those to entries.
 * They pass messages on and decide nothing about jobs.
 */
package org.jackdawsaddle.internal.pool.connection;
