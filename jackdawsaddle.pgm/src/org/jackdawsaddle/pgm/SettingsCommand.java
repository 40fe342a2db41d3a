package org.jackdawsaddle.pgm;

import java.util.Set;
import java.util.concurrent.Callable;
import org.jackdawsaddle.platform.PlatformSettingsReader;
import org.jackdawsaddle.settings.SettingsReader;
import org.jackdawsaddle.standin.store.StoreSettings;
import org.jackdawsaddle.standin.target.TargetSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints an example settings file of a role. */
@Command(
        name = "settings",
        mixinStandardHelpOptions = true,
        description = "Prints a commented settings file of a role, with all defaults and units.")
final class SettingsCommand implements Callable<Integer> {
    /** The kinds of process that have a settings file. */
    enum Role {
        /** Accepts jobs and dispatches their tasks. */
        ENTRY,
        /** Starts tasks on a target. */
        SIDECAR,
        /** An entry or a sidecar on the users' platform. */
        PLATFORM,
        /** A stand-in for the platform's store. */
        STORE,
        /** A stand-in target. */
        TARGET
    }

    @Parameters(paramLabel = "ROLE", description = "${COMPLETION-CANDIDATES}; case is ignored.")
    private Role mRole;

    @Spec private CommandSpec mSpec;

    @Override
    public Integer call() {
        SettingsReader<?> reader =
                switch (mRole) {
                    case ENTRY -> SettingsReader.entry();
                    case SIDECAR -> SettingsReader.sidecar();
                    case PLATFORM -> PlatformSettingsReader.create();
                    case STORE -> new SettingsReader<>(StoreSettings.class, "store", Set.of());
                    case TARGET -> new SettingsReader<>(TargetSettings.class, "target", Set.of());
                };
        mSpec.commandLine().getOut().print(reader.example());
        mSpec.commandLine().getOut().flush();
        return Main.OK;
    }
}
