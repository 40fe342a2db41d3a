package org.jackdawsaddle.pgm;

import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.SidecarService;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.settings.SettingsReader;
import org.jackdawsaddle.settings.SidecarSettings;
import picocli.CommandLine.Command;

/** Runs a sidecar beside a target. */
@Command(
        name = "sidecar",
        mixinStandardHelpOptions = true,
        description = "Runs a sidecar beside a target until SIGTERM.")
final class SidecarCommand extends RoleCommand<SidecarSettings> {

    SidecarCommand() {
        super(SettingsReader.sidecar());
    }

    @Override
    protected ManagedService create(SidecarSettings settings) {
        return new SidecarService(settings, new UnixClock());
    }
}
