/**
 * Decides how much of its load an entry hands over to larger entries. Answers load that comes
 * unevenly: callers of one data centre reach its entries only, however small they are.
 */
package org.jackdawsaddle.internal.pool.handover;
