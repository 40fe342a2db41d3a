package org.jackdawsaddle.pgm;

import java.util.Set;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.settings.SettingsReader;
import org.jackdawsaddle.standin.store.StoreSettings;
import org.jackdawsaddle.standin.store.StoreStandIn;
import picocli.CommandLine.Command;

/** Runs a stand-in for the platform's store, for tests and examples. */
@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        description = "Runs a stand-in store, for tests and examples, until SIGTERM.")
final class StoreCommand extends RoleCommand<StoreSettings> {

    StoreCommand() {
        super(new SettingsReader<>(StoreSettings.class, "store", Set.of("httpAddress")));
    }

    @Override
    protected ManagedService create(StoreSettings settings) {
        return new StoreStandIn(settings, new UnixClock());
    }
}
