package org.jackdawsaddle.config;

/**
 * A problem that the validation of a configuration found.
 *
 * @param object the type and name of the object, or the file that could not be read or parsed
 * @param path the path of the field in the object or the set; empty for an unreadable file
 * @param problem what is wrong
 * @param remedy how to correct it
 */
public record Finding(String object, String path, String problem, String remedy) {

    /** Returns the finding as one line of text for operators. */
    public String line() {
        return object + " " + path + ": " + problem + " Remedy: " + remedy;
    }
}
