/** Keeps what is known of the operator's requests to evacuate data centres. */
package org.jackdawsaddle.internal.pool.evacuation;
