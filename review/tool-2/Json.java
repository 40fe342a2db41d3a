import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader for the bodies that the stand-ins get. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    static Map<String, Object> object(String text) {
        return object(new Json(text).value());
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return value == null ? Map.of() : (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    static long number(Object value) {
        return value == null ? 0 : ((Number) value).longValue();
    }

    private char peek() {
        while (Character.isWhitespace(mText.charAt(mAt))) {
            mAt++;
        }
        return mText.charAt(mAt);
    }

    private Object value() {
        char c = peek();
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            mAt++;
            while (peek() != '}') {
                String key = string();
                peek();
                mAt++; // the colon
                map.put(key, value());
                if (peek() == ',') {
                    mAt++;
                }
            }
            mAt++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            mAt++;
            while (peek() != ']') {
                list.add(value());
                if (peek() == ',') {
                    mAt++;
                }
            }
            mAt++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        int start = mAt;
        while (mAt < mText.length() && ",}] \n\t\r".indexOf(mText.charAt(mAt)) < 0) {
            mAt++;
        }
        String word = mText.substring(start, mAt);
        return switch (word) {
            case "null" -> null;
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            default -> Double.valueOf(word);
        };
    }

    private String string() {
        peek();
        StringBuilder text = new StringBuilder();
        for (mAt++; mText.charAt(mAt) != '"'; mAt++) {
            char c = mText.charAt(mAt);
            if (c != '\\') {
                text.append(c);
                continue;
            }
            mAt++;
            switch (mText.charAt(mAt)) {
                case 'n' -> text.append('\n');
                case 't' -> text.append('\t');
                case 'r' -> text.append('\r');
                case 'b' -> text.append('\b');
                case 'f' -> text.append('\f');
                case 'u' -> {
                    text.append((char) Integer.parseInt(mText.substring(mAt + 1, mAt + 5), 16));
                    mAt += 4;
                }
                default -> text.append(mText.charAt(mAt));
            }
        }
        mAt++;
        return text.toString();
    }
}
