package org.jackdawsaddle.pool;

import java.util.Set;

/**
 * The data centres whose targets must get no new tasks, as the operator has requested. Runs that
 * are active there are left to end.
 *
 * @param revision rises with each change of the operator's requests; 0 if none is known
 * @param dataCentres the names of the evacuated data centres
 */
public record Evacuation(long revision, Set<String> dataCentres) {
    /** No data centre is evacuated, as far as is known. */
    public static final Evacuation NONE = new Evacuation(0, Set.of());

    /** Takes an unmodifiable copy of the set. */
    public Evacuation {
        dataCentres = Set.copyOf(dataCentres);
    }

    /** Returns whether the targets of a data centre must get no new tasks. */
    public boolean includes(String dataCentre) {
        return dataCentres.contains(dataCentre);
    }

    /** Returns the same data centres under another revision. */
    public Evacuation withRevision(long newRevision) {
        return new Evacuation(newRevision, dataCentres);
    }
}
