package org.jackdawsaddle.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.jackdawsaddle.errors.SettingsInvalidException;

/**
 * Reads a settings file, whose fields override the defaults of its role.
 *
 * @param <T> the type of the settings
 */
public final class SettingsReader<T> {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().enable(JsonParser.Feature.ALLOW_COMMENTS).build();

    private final Class<T> mType;
    private final String mResourceName;
    private final Set<String> mRequiredFields;

    /**
     * Creates a reader.
     *
     * @param resourceName the name, without .json, of the resource next to the type that holds the
     *     defaults with comments
     * @param requiredFields the fields that a settings file must have; their defaults are only
     *     examples
     */
    public SettingsReader(Class<T> type, String resourceName, Set<String> requiredFields) {
        mType = type;
        mResourceName = resourceName;
        mRequiredFields = requiredFields;
    }

    /** Returns a reader for the settings of an entry. */
    public static SettingsReader<EntrySettings> entry() {
        return new SettingsReader<>(
                EntrySettings.class,
                "entry",
                Set.of("name", "dataCentre", "httpAddress", "peerAddress", "storeAddress"));
    }

    /** Returns a reader for the settings of a sidecar. */
    public static SettingsReader<SidecarSettings> sidecar() {
        return new SettingsReader<>(
                SidecarSettings.class,
                "sidecar",
                Set.of("name", "dataCentre", "httpAddress", "entryAddresses"));
    }

    /** Returns an example settings file that documents all fields, defaults and units. */
    public String example() {
        try (InputStream in = mType.getResourceAsStream(mResourceName + ".json")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reads a settings file.
     *
     * @throws SettingsInvalidException if the file cannot be read or parsed, or fields are missing,
     *     unknown or of another JSON type; their values are not checked
     */
    public T read(String file) {
        try {
            return parse(file, Files.readString(Path.of(file)));
        } catch (IOException e) {
            throw new SettingsInvalidException(file + ": cannot be read: " + e.getMessage() + ".");
        }
    }

    /**
     * Parses the text of a settings file.
     *
     * @param file the name of the file, for error messages
     * @throws SettingsInvalidException if the text cannot be parsed, or fields are missing, unknown
     *     or of another JSON type
     */
    T parse(String file, String text) {
        try {
            ObjectNode settings = (ObjectNode) MAPPER.readTree(example());
            if (!(MAPPER.readTree(text) instanceof ObjectNode provided)) {
                throw new SettingsInvalidException(file + ": is not a JSON object.");
            }
            List<String> findings = findings(file, settings, provided);
            if (!findings.isEmpty()) {
                throw new SettingsInvalidException(String.join(" ", findings));
            }
            settings.setAll(provided);
            return MAPPER.treeToValue(settings, mType);
        } catch (JsonProcessingException e) {
            throw new SettingsInvalidException(file + ": " + e.getOriginalMessage() + ".");
        }
    }

    /** Returns all errors, each with the file and the field. */
    private List<String> findings(String file, ObjectNode defaults, ObjectNode provided) {
        List<String> findings = new ArrayList<>();
        for (String field : new TreeSet<>(mRequiredFields)) {
            if (!provided.has(field)) {
                findings.add(file + " " + field + ": is missing.");
            }
        }
        for (Map.Entry<String, JsonNode> field : provided.properties()) {
            checkField(file, defaults, field).ifPresent(findings::add);
        }
        return findings;
    }

    private static Optional<String> checkField(
            String file, ObjectNode defaults, Map.Entry<String, JsonNode> field) {
        String path = file + " " + field.getKey();
        JsonNode expected = defaults.get(field.getKey());
        if (expected == null) {
            return Optional.of(path + ": is unknown.");
        }
        if (expected.getNodeType() != field.getValue().getNodeType()) {
            return Optional.of(
                    path
                            + ": is "
                            + field.getValue().getNodeType()
                            + ", not "
                            + expected.getNodeType()
                            + ".");
        }
        return Optional.empty();
    }
}
