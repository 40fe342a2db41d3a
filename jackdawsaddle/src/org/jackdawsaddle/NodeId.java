package org.jackdawsaddle;

/**
 * The identity of one incarnation of a process.
 *
 * @param name the process name from its settings
 * @param incarnation a number chosen at each start of the process, unique among all incarnations of
 *     the same name
 */
public record NodeId(String name, long incarnation) {

    /** Returns whether both are different incarnations of the process with the same name. */
    public boolean isOtherIncarnationOf(NodeId other) {
        return name.equals(other.name) && incarnation != other.incarnation;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof NodeId that
                && incarnation == that.incarnation
                && name.equals(that.name);
    }

    // The methods that the compiler generates for records are slow as keys of maps.
    @Override
    public int hashCode() {
        return name.hashCode() ^ Long.hashCode(incarnation);
    }

    @Override
    public String toString() {
        return name + "#" + Long.toHexString(incarnation);
    }
}
