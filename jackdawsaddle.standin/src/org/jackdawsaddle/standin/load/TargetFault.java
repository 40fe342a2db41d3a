package org.jackdawsaddle.standin.load;

import org.jackdawsaddle.standin.fleet.LocalTarget;

/** A fault that is injected into one target during a measurement. */
public enum TargetFault {
    /** No fault. */
    NONE,
    /** The target stops without a withdrawal. */
    DEAD,
    /** The target accepts tasks but does not end them. */
    FROZEN,
    /** The target fails every task immediately. */
    FAILING;

    /** Injects the fault into a target. */
    void inject(LocalTarget target) {
        switch (this) {
            case NONE -> {}
            case DEAD -> target.killTarget();
            case FROZEN -> target.target().freeze();
            case FAILING -> target.target().setFailing(true);
        }
    }
}
