package org.jackdawsaddle.pgm;

import java.util.Set;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.settings.SettingsReader;
import org.jackdawsaddle.standin.target.TargetSettings;
import org.jackdawsaddle.standin.target.TargetStandIn;
import picocli.CommandLine.Command;

/** Runs a stand-in target, for tests and examples. */
@Command(
        name = "target",
        mixinStandardHelpOptions = true,
        description = "Runs a stand-in target, for tests and examples, until SIGTERM.")
final class TargetCommand extends RoleCommand<TargetSettings> {

    TargetCommand() {
        super(
                new SettingsReader<>(
                        TargetSettings.class,
                        "target",
                        Set.of("name", "service", "httpAddress", "sidecarAddress")));
    }

    @Override
    protected ManagedService create(TargetSettings settings) {
        return new TargetStandIn(settings, new UnixClock());
    }
}
