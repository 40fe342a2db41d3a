package org.jackdawsaddle.process;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Replaces addresses in data that passes a proxy, so that a process that learns addresses from
 * messages goes on to connect through proxies. Misses an address that two chunks of data share.
 */
final class AddressRewriter {
    private final Map<String, String> mReplacements = new LinkedHashMap<>();

    /** Replaces an address, as host:port, by another one of the same length. */
    void add(String address, String replacement) {
        if (address.length() != replacement.length()) {
            throw new IllegalArgumentException(address + " and " + replacement);
        }
        mReplacements.put(address, replacement);
    }

    /** Replaces the addresses in the first bytes of a buffer. */
    void rewrite(byte[] buffer, int length) {
        mReplacements.forEach((address, replacement) ->
                replace(buffer, length, bytes(address), bytes(replacement)));
    }

    private static void replace(byte[] buffer, int length, byte[] from, byte[] to) {
        for (int start = 0; start + from.length <= length; start++) {
            if (Arrays.equals(buffer, start, start + from.length, from, 0, from.length)) {
                System.arraycopy(to, 0, buffer, start, to.length);
            }
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
