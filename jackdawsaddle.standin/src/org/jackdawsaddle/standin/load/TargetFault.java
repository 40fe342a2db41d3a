package org.jackdawsaddle.standin.load;

import org.jackdawsaddle.standin.fleet.LocalTarget;

/** What happens to one target in the middle of a measurement. */
public enum TargetFault {
    /** Nothing. */
    NONE,
    /** It ends without notice. */
    DEAD,
    /** It takes tasks and never ends them. */
    FROZEN,
    /** It fails every task at once. */
    FAILING;

    /** Makes it happen. */
    void inject(LocalTarget target) {
        switch (this) {
            case NONE -> {}
            case DEAD -> target.killTarget();
            case FROZEN -> target.target().freeze();
            case FAILING -> target.target().setFailing(true);
        }
    }
}
