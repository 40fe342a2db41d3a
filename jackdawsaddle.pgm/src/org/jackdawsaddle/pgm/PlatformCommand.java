package org.jackdawsaddle.pgm;

import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.platform.PlatformRole;
import picocli.CommandLine.Command;

/** The command whose subcommands run and check roles on the users' platform. */
@Command(
        name = "platform",
        mixinStandardHelpOptions = true,
        description =
                "Runs a role on the users' platform, checks its configuration, or tries it out.",
        subcommands = {
            PlatformCommand.Entry.class,
            PlatformCommand.Sidecar.class,
            PlatformCheckCommand.class,
            PlatformTrialCommand.class
        })
final class PlatformCommand {

    /** Runs an entry on the platform. */
    @Command(
            name = "entry",
            mixinStandardHelpOptions = true,
            description = "Runs an entry on the platform until SIGTERM.")
    static final class Entry extends ServiceCommand {
        @Override
        protected ManagedService create(String settingsFile) {
            return PlatformRole.entry(settingsFile);
        }
    }

    /** Runs a sidecar on the platform. */
    @Command(
            name = "sidecar",
            mixinStandardHelpOptions = true,
            description = "Runs a sidecar on the platform until SIGTERM.")
    static final class Sidecar extends ServiceCommand {
        @Override
        protected ManagedService create(String settingsFile) {
            return PlatformRole.sidecar(settingsFile);
        }
    }
}
