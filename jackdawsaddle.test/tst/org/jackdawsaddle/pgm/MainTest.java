package org.jackdawsaddle.pgm;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the exit codes of the commands. */
public class MainTest {

    private static String file(String text) throws IOException {
        return Files.writeString(Files.createTempFile("main", ".json"), text).toString();
    }

    @DataProvider
    public Object[][] commands() throws IOException {
        String valid = file("{\"teams\": [{\"name\": \"a\", \"tasksInHand\": 0}]}");
        String invalid = file("{\"teams\": [{\"name\": \"A\", \"tasksInHand\": 0}]}");
        String unreachable = "127.0.0.1:1";
        return new Object[][] {
            {0, new String[] {"--help"}},
            {0, new String[] {"settings", "entry"}},
            {0, new String[] {"settings", "TARGET"}},
            {0, new String[] {"check", valid}},
            {0, new String[] {"generate-completion"}},
            {1, new String[] {"check", valid, invalid}},
            {1, new String[] {"check", "--json", invalid}},
            {1, new String[] {"publish", "-m", "x", "-e", unreachable, invalid}},
            {2, new String[] {"no-such-command"}},
            {2, new String[] {"entry"}},
            {2, new String[] {"entry", "-s", valid}},
            {2, new String[] {"replay", valid}},
            {3, new String[] {"status", "-e", unreachable}},
            {3, new String[] {"publish", "-m", "x", "-e", unreachable, valid}}
        };
    }

    @Test(dataProvider = "commands")
    public void exitCodeIsAsDocumented(int expected, String[] arguments) {
        assertEquals(Main.run(arguments), expected);
    }

    @Test
    public void exampleObjectsAreValid() {
        for (String deployment : new String[] {"fjordhorn", "quetzaltenango"}) {
            Path objects = Path.of("..", "examples", deployment, "objects.json");
            assertEquals(Main.run("check", objects.toString()), 0);
        }
    }
}
