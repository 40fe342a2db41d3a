package org.jackdawsaddle.internal.message;

/**
 * The load that callers put on an entry.
 *
 * @param processorCores the processor cores that the entry may use; 0 if unknown
 * @param tasksPerSecond the tasks of the jobs that its callers have submitted, a second; those that
 *     it has handed over included
 */
public record EntryLoad(double processorCores, double tasksPerSecond) {
    /** Nothing is known. */
    public static final EntryLoad UNKNOWN = new EntryLoad(0, 0);
}
