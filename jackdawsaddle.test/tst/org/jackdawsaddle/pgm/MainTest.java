package org.jackdawsaddle.pgm;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the exit codes of commands, and that the example objects are valid. */
public class MainTest {

    /** Writes the text to a temporary file and returns its path. */
    private static String writeTempFile(String text) throws IOException {
        return Files.writeString(Files.createTempFile("main", ".json"), text).toString();
    }

    @DataProvider
    public Object[][] commands() throws IOException {
        String validFile = writeTempFile("{\"teams\": [{\"name\": \"a\", \"tasksInHand\": 0}]}");
        String invalidFile = writeTempFile("{\"teams\": [{\"name\": \"A\", \"tasksInHand\": 0}]}");
        String unreachableAddress = "127.0.0.1:1";
        return new Object[][] {
            {0, new String[] {"--help"}},
            {0, new String[] {"settings", "entry"}},
            {0, new String[] {"settings", "TARGET"}},
            {0, new String[] {"check", validFile}},
            {0, new String[] {"generate-completion"}},
            {1, new String[] {"check", validFile, invalidFile}},
            {1, new String[] {"check", "--json", invalidFile}},
            {1, new String[] {"publish", "-m", "x", "-e", unreachableAddress, invalidFile}},
            {2, new String[] {"no-such-command"}},
            {2, new String[] {"entry"}},
            {2, new String[] {"entry", "-s", validFile}},
            {2, new String[] {"replay", validFile}},
            {3, new String[] {"status", "-e", unreachableAddress}},
            {3, new String[] {"publish", "-m", "x", "-e", unreachableAddress, validFile}}
        };
    }

    @Test(dataProvider = "commands")
    public void exitCodeIsAsDocumented(int expectedExitCode, String[] arguments) {
        assertEquals(Main.run(arguments), expectedExitCode);
    }

    @Test
    public void exampleObjectsAreValid() {
        for (String deployment : new String[] {"fjordhorn", "quetzaltenango"}) {
            Path objects = Path.of("..", "examples", deployment, "objects.json");
            assertEquals(Main.run("check", objects.toString()), 0);
        }
    }
}
