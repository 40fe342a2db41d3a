package org.jackdawsaddle;

/**
 * One life of a process.
 *
 * @param name the name from the process's settings
 * @param incarnation a number that no other life of the same name has
 */
public record NodeId(String name, long incarnation) {

    /** Returns whether both are lives of the same name, but different ones. */
    public boolean isOtherIncarnationOf(NodeId other) {
        return name.equals(other.name) && incarnation != other.incarnation;
    }

    @Override
    public String toString() {
        return name + "#" + Long.toHexString(incarnation);
    }
}
