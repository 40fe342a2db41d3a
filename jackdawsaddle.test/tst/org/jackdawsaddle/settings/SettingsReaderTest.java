package org.jackdawsaddle.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import org.jackdawsaddle.errors.SettingsInvalidException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the defaults of settings and the errors reported for invalid settings files. */
public class SettingsReaderTest {
    private static final String REQUIRED_FIELDS =
            "\"name\": \"e\", \"dataCentre\": \"d\", \"httpAddress\": \"127.0.0.1:1\","
                    + "\"peerAddress\": \"127.0.0.1:2\", \"storeAddress\": \"127.0.0.1:3\"";

    @Test
    public void absentFieldsHaveTheirDefaults() {
        EntrySettings settings = SettingsReader.entry().parse("f", "{" + REQUIRED_FIELDS + "}");
        assertEquals(settings.name(), "e");
        assertEquals(settings.partitions(), 1);
        assertEquals(settings.reachableAddress(), "127.0.0.1:2");
    }

    @Test
    public void exampleIsAValidSettingsFile() {
        String example = SettingsReader.sidecar().example();
        assertEquals(SettingsReader.sidecar().parse("f", example).name(), "bergen-a-0");
    }

    @DataProvider
    public Object[][] invalidFiles() {
        return new Object[][] {
            {"{" + REQUIRED_FIELDS + ", \"nmae\": 1}", "nmae: is unknown"},
            {
                "{" + REQUIRED_FIELDS + ", \"partitions\": \"1\"}",
                "partitions: is STRING, not NUMBER"
            },
            {"{\"name\": \"e\"}", "is missing"},
            {"[]", "is not a JSON object"},
            {"{", "Unexpected end-of-input"}
        };
    }

    @Test(dataProvider = "invalidFiles")
    public void invalidFileIsRejectedWithPathAndRemedy(String text, String problem) {
        SettingsInvalidException failure =
                expectThrows(
                        SettingsInvalidException.class,
                        () -> SettingsReader.entry().parse("file.json", text));
        assertTrue(failure.getMessage().contains(problem), failure.getMessage());
        assertTrue(failure.getMessage().contains("Remedy: "), failure.getMessage());
    }

    @Test
    public void invalidFileIsRejectedWithAllFindings() {
        SettingsInvalidException failure =
                expectThrows(
                        SettingsInvalidException.class,
                        () ->
                                SettingsReader.entry()
                                        .parse("file.json", "{\"name\": 1, \"nmae\": 1}"));
        for (String finding :
                new String[] {
                    "name: is NUMBER, not STRING", "nmae: is unknown", "storeAddress: is missing"
                }) {
            assertTrue(failure.getMessage().contains(finding), failure.getMessage());
        }
    }
}
