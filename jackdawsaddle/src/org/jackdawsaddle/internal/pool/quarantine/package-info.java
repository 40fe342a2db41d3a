/**
 * Decides where work may run that has crashed the targets which ran it, and when it is given up.
 */
package org.jackdawsaddle.internal.pool.quarantine;
