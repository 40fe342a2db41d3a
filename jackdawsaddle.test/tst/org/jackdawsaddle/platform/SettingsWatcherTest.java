package org.jackdawsaddle.platform;

import static org.testng.Assert.assertNull;

import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sun.misc.Signal;

/** A SIGHUP while the process shuts down is ignored. */
public class SettingsWatcherTest {
    private static final long SIGNAL_MILLIS = 500;

    private final Thread.UncaughtExceptionHandler mDefaultHandler =
            Thread.getDefaultUncaughtExceptionHandler();

    private CapturedLog mLog;

    /** Initializes the log, which the interrupt by the stop must not cut short. */
    @BeforeMethod
    public void attachLog() {
        mLog = CapturedLog.attach();
    }

    @AfterMethod
    public void restoreHandler() {
        mLog.detach();
        Thread.setDefaultUncaughtExceptionHandler(mDefaultHandler);
    }

    @Test
    public void ignoresAHangupAfterTheStop() throws InterruptedException {
        AtomicReference<Throwable> uncaught = new AtomicReference<>();
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> uncaught.set(failure));
        SettingsWatcher watcher =
                new SettingsWatcher("none", null, PlatformSettingsReader.create(), settings -> {});
        watcher.start();
        watcher.stop();
        Signal.raise(new Signal("HUP"));
        Thread.sleep(SIGNAL_MILLIS);
        assertNull(uncaught.get());
    }
}
