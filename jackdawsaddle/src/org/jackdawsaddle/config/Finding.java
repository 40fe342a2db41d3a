package org.jackdawsaddle.config;

/**
 * Something wrong in a set of objects.
 *
 * @param object the type and name of the object
 * @param path the place inside the object
 * @param problem what is wrong
 * @param remedy what to do
 */
public record Finding(String object, String path, String problem, String remedy) {

    /** Returns the finding as one line. */
    public String line() {
        return object + " " + path + ": " + problem + " Remedy: " + remedy;
    }
}
