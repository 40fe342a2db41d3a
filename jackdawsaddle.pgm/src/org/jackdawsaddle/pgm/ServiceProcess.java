package org.jackdawsaddle.pgm;

import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.jackdawsaddle.ManagedService;

/** Runs a service until the process is terminated. */
final class ServiceProcess {

    private ServiceProcess() {}

    /** Starts the service and returns after a shutdown, such as by SIGTERM, has stopped it. */
    static void run(ManagedService service) throws InterruptedException {
        CountDownLatch stopped = new CountDownLatch(1);
        Thread stopThread =
                new Thread(
                        () -> {
                            service.stop();
                            LogManager.shutdown();
                            stopped.countDown();
                        },
                        "shutdown");
        Runtime.getRuntime().addShutdownHook(stopThread);
        service.start();
        stopped.await();
    }
}
