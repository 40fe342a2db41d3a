package org.jackdawsaddle.pgm;

import java.util.concurrent.Callable;
import org.jackdawsaddle.standin.load.Demo;
import picocli.CommandLine.Command;

/** Runs a store, entries, sidecars and targets in one process, and checks their invariants. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description =
                "Runs a whole system in this process and checks it; expected to take under 40 s.")
final class DemoCommand implements Callable<Integer> {

    @Override
    public Integer call() {
        System.out.println("Logs: " + ProcessLogs.demoFile());
        return new Demo(System.out).run() ? Main.OK : Main.NEGATIVE_RESULT;
    }
}
