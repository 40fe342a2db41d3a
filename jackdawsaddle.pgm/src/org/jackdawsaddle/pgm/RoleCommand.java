package org.jackdawsaddle.pgm;

import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.settings.SettingsReader;

/**
 * The base class of commands that run a service and read its settings file once, at the start.
 *
 * @param <T> the type of the settings
 */
abstract class RoleCommand<T> extends ServiceCommand {
    private final SettingsReader<T> mReader;

    RoleCommand(SettingsReader<T> reader) {
        mReader = reader;
    }

    @Override
    protected ManagedService create(String settingsFile) {
        return create(mReader.read(settingsFile));
    }

    /** Creates the service from its settings. */
    protected abstract ManagedService create(T settings);
}
