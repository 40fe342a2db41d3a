package org.jackdawsaddle.pgm;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs commands for their exit codes. */
public class MainTest {

    private static String file(String text) throws IOException {
        return Files.writeString(Files.createTempFile("main", ".json"), text).toString();
    }

    @DataProvider
    public Object[][] commands() throws IOException {
        String sound = file("{\"teams\": [{\"name\": \"a\", \"tasksInHand\": 0}]}");
        String broken = file("{\"teams\": [{\"name\": \"A\", \"tasksInHand\": 0}]}");
        String dead = "127.0.0.1:1";
        return new Object[][] {
            {0, new String[] {"--help"}},
            {0, new String[] {"settings", "entry"}},
            {0, new String[] {"settings", "TARGET"}},
            {0, new String[] {"check", sound}},
            {0, new String[] {"generate-completion"}},
            {1, new String[] {"check", sound, broken}},
            {1, new String[] {"check", "--json", broken}},
            {1, new String[] {"publish", "-m", "x", "-e", dead, broken}},
            {2, new String[] {"no-such-command"}},
            {2, new String[] {"entry"}},
            {2, new String[] {"entry", "-s", sound}},
            {2, new String[] {"replay", sound}},
            {3, new String[] {"status", "-e", dead}},
            {3, new String[] {"publish", "-m", "x", "-e", dead, sound}}
        };
    }

    @Test(dataProvider = "commands")
    public void exitCodeIsAsDocumented(int expected, String[] arguments) {
        assertEquals(Main.run(arguments), expected);
    }

    @Test
    public void examplesAreSound() {
        for (String deployment : new String[] {"fjordhorn", "quetzaltenango"}) {
            Path objects = Path.of("..", "examples", deployment, "objects.json");
            assertEquals(Main.run("check", objects.toString()), 0);
        }
    }
}
