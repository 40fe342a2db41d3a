package org.jackdawsaddle.pgm;

import java.util.concurrent.Callable;
import org.jackdawsaddle.standin.load.Demo;
import picocli.CommandLine.Command;

/** Shows the whole path in one process. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = "Runs the whole path in this process on embedded defaults, within 40 s.")
final class DemoCommand implements Callable<Integer> {

    @Override
    public Integer call() {
        System.out.println("Logs: " + ProcessLogs.demoFile());
        return new Demo(System.out).run() ? Main.OK : Main.NEGATIVE_RESULT;
    }
}
