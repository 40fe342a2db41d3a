package org.jackdawsaddle.standin.fleet;

import java.util.List;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.SidecarService;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.settings.SidecarSettings;
import org.jackdawsaddle.standin.target.TargetSettings;
import org.jackdawsaddle.standin.target.TargetStandIn;

/** A stand-in target and its sidecar, both in this process. */
public final class LocalTarget implements ManagedService {
    private static final long DRAIN_MILLIS = 5_000;

    private final TargetSpec mSpec;
    private final TargetStandIn mTarget;
    private final SidecarService mSidecar;

    LocalTarget(TargetSpec spec, List<String> entryAddresses, UnixClock clock) {
        mSpec = spec;
        List<String> addresses = FreePorts.addresses(2);
        mSidecar =
                new SidecarService(
                        new SidecarSettings(
                                spec.name(),
                                spec.dataCentre(),
                                addresses.getFirst(),
                                entryAddresses,
                                DRAIN_MILLIS,
                                ""),
                        clock);
        mTarget =
                new TargetStandIn(
                        new TargetSettings(
                                spec.name(),
                                spec.service(),
                                addresses.getLast(),
                                addresses.getFirst(),
                                spec.slots(),
                                spec.connections(),
                                spec.capacity(),
                                spec.speed(),
                                ""),
                        clock);
    }

    @Override
    public void start() {
        mSidecar.start();
        mTarget.start();
    }

    @Override
    public void stop() {
        mSidecar.stop();
        mTarget.stop();
    }

    /** Stops the target without a withdrawal; its sidecar continues to run. */
    public void killTarget() {
        mTarget.stop();
    }

    /** Returns the specification of the target. */
    public TargetSpec spec() {
        return mSpec;
    }

    /** Returns the stand-in target. */
    public TargetStandIn target() {
        return mTarget;
    }

    /** Returns the sidecar. */
    public SidecarService sidecar() {
        return mSidecar;
    }
}
