/** Collections that the standard library lacks. */
package org.jackdawsaddle.internal.collection;
