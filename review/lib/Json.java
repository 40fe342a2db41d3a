import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: maps, lists, strings, longs or doubles, booleans and null. */
final class Json {
    private final String mText;
    private int mPos;

    private Json(String text) {
        mText = text;
    }

    static Object read(String text) {
        Json reader = new Json(text);
        Object value = reader.value();
        reader.skipSpace();
        if (reader.mPos != text.length()) {
            throw new IllegalArgumentException("trailing text at " + reader.mPos);
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> readObject(String text) {
        return (Map<String, Object>) read(text);
    }

    static String write(Object value) {
        return switch (value) {
            case null -> "null";
            case String text -> quote(text);
            case Map<?, ?> map -> {
                StringBuilder out = new StringBuilder("{");
                map.forEach((key, item) -> {
                    out.append(out.length() > 1 ? "," : "");
                    out.append(quote(key.toString())).append(':').append(write(item));
                });
                yield out.append('}').toString();
            }
            case List<?> list -> {
                StringBuilder out = new StringBuilder("[");
                list.forEach(item -> out.append(out.length() > 1 ? "," : "").append(write(item)));
                yield out.append(']').toString();
            }
            default -> value.toString();
        };
    }

    /** Quotes a string; characters outside ASCII stay as they are. */
    private static String quote(String text) {
        StringBuilder out = new StringBuilder("\"");
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        return out.append('"').toString();
    }

    private void skipSpace() {
        while (mPos < mText.length() && Character.isWhitespace(mText.charAt(mPos))) {
            mPos++;
        }
    }

    private char peek() {
        skipSpace();
        return mText.charAt(mPos);
    }

    private void expect(char c) {
        if (peek() != c) {
            throw new IllegalArgumentException("expected " + c + " at " + mPos);
        }
        mPos++;
    }

    private Object value() {
        char c = peek();
        if (c == '{') {
            return object();
        }
        if (c == '[') {
            return array();
        }
        if (c == '"') {
            return string();
        }
        int start = mPos;
        while (mPos < mText.length() && "+-.eE0123456789truefalsn".indexOf(mText.charAt(mPos)) >= 0) {
            mPos++;
        }
        String word = mText.substring(start, mPos);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
        };
    }

    private Map<String, Object> object() {
        Map<String, Object> map = new LinkedHashMap<>();
        expect('{');
        while (peek() != '}') {
            String key = string();
            expect(':');
            map.put(key, value());
            if (peek() == ',') {
                mPos++;
            }
        }
        mPos++;
        return map;
    }

    private List<Object> array() {
        List<Object> list = new ArrayList<>();
        expect('[');
        while (peek() != ']') {
            list.add(value());
            if (peek() == ',') {
                mPos++;
            }
        }
        mPos++;
        return list;
    }

    private String string() {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (mText.charAt(mPos) != '"') {
            char c = mText.charAt(mPos++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escape = mText.charAt(mPos++);
            switch (escape) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(mText.substring(mPos, mPos + 4), 16));
                    mPos += 4;
                }
                default -> out.append(escape);
            }
        }
        mPos++;
        return out.toString();
    }
}
