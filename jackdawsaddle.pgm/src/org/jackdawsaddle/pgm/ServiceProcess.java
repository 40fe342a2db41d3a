package org.jackdawsaddle.pgm;

import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.jackdawsaddle.ManagedService;

/** Runs a service for the lifetime of the process. */
final class ServiceProcess {

    private ServiceProcess() {}

    /** Starts the service and returns after SIGTERM has stopped it. */
    static void run(ManagedService service) throws InterruptedException {
        CountDownLatch stopped = new CountDownLatch(1);
        Thread stop =
                new Thread(
                        () -> {
                            service.stop();
                            LogManager.shutdown();
                            stopped.countDown();
                        },
                        "shutdown");
        Runtime.getRuntime().addShutdownHook(stop);
        service.start();
        stopped.await();
    }
}
