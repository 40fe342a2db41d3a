package org.jackdawsaddle.pgm;

import java.util.concurrent.Callable;
import org.jackdawsaddle.standin.load.Demo;
import picocli.CommandLine.Command;

/** Runs the demonstration in one process. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = "Runs a whole system in this process with built-in settings, within 40 s.")
final class DemoCommand implements Callable<Integer> {

    @Override
    public Integer call() {
        System.out.println("Logs: " + ProcessLogs.demoFile());
        return new Demo(System.out).run() ? Main.OK : Main.NEGATIVE_RESULT;
    }
}
