package org.jackdawsaddle.pgm;

import java.util.concurrent.Callable;
import org.jackdawsaddle.ManagedService;
import picocli.CommandLine.Option;

/** The base class of commands that run a service until SIGTERM. */
abstract class ServiceCommand implements Callable<Integer> {
    @Option(
            names = {"-s", "--settings"},
            required = true,
            defaultValue = "${env:JACKDAWSADDLE_CONFIG}",
            paramLabel = "FILE",
            description = "The settings file, in JSON. Default: $JACKDAWSADDLE_CONFIG.")
    private String mSettingsFile;

    @Override
    public Integer call() throws InterruptedException {
        ServiceProcess.run(create(mSettingsFile));
        return Main.OK;
    }

    /** Creates the service, without starting it, from its settings file. */
    protected abstract ManagedService create(String settingsFile);
}
