package org.jackdawsaddle.pgm;

import org.jackdawsaddle.EntryService;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.internal.http.HttpClient;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.internal.store.HttpStoreClient;
import org.jackdawsaddle.settings.EntrySettings;
import org.jackdawsaddle.settings.SettingsReader;
import picocli.CommandLine.Command;

/** Runs an entry that uses a store with the HTTP interface of {@link StoreCommand}'s stand-in. */
@Command(
        name = "entry",
        mixinStandardHelpOptions = true,
        description = "Runs an entry until SIGTERM.")
final class EntryCommand extends RoleCommand<EntrySettings> {

    EntryCommand() {
        super(SettingsReader.entry());
    }

    @Override
    protected ManagedService create(EntrySettings settings) {
        UnixClock clock = new UnixClock();
        HttpClient httpClient = new HttpClient(clock, 1);
        httpClient.start();
        HttpStoreClient store = new HttpStoreClient(httpClient, settings.storeAddress(), clock);
        return new EntryService(settings, store, clock);
    }
}
