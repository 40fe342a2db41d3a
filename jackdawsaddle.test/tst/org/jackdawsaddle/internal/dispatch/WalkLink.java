package org.jackdawsaddle.internal.dispatch;

/** A connection of a walk: messages arrive in order, each after some delay, until it is cut. */
final class WalkLink {
    private final Walk mWalk;
    final WalkNode mFrom;
    final WalkNode mTo;
    boolean mOpen = true;
    private long mLastForth;
    private long mLastBack;

    WalkLink(Walk walk, WalkNode from, WalkNode to) {
        mWalk = walk;
        mFrom = from;
        mTo = to;
    }

    /** Delivers a message to the other end of the sender, unless the link is cut before. */
    void deliver(WalkNode sender, Runnable work) {
        WalkNode receiver = sender == mFrom ? mTo : mFrom;
        long at = mWalk.mAgenda.now() + mWalk.delay();
        if (sender == mFrom) {
            mLastForth = Math.max(mLastForth, at);
            at = mLastForth;
        } else {
            mLastBack = Math.max(mLastBack, at);
            at = mLastBack;
        }
        mWalk.mAgenda.at(
                at,
                () -> {
                    if (mOpen) {
                        receiver.run(() -> {
                            if (receiver.mLinks.get(sender) == this) {
                                work.run();
                            }
                        });
                    }
                });
    }

    /** Loses what is under way; both ends learn of it, at times of their own. */
    void cut() {
        if (!mOpen) {
            return;
        }
        mOpen = false;
        tell(mFrom, mTo);
        tell(mTo, mFrom);
    }

    private void tell(WalkNode node, WalkNode other) {
        mWalk.mAgenda.after(
                mWalk.delay(), () -> node.run(() -> mWalk.disconnected(node, other, this)));
    }
}
