package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import org.jackdawsaddle.internal.message.EntryMessage.Welcome;

/** Tells sidecars which entries there are. */
final class Welcomes {
    private final EntryBoard mBoard;

    Welcomes(EntryBoard board) {
        mBoard = board;
    }

    /** Tells the sidecars that this entry decides for where all entries listen. */
    void welcomeOwnSidecars() {
        mBoard.mSidecars.values().stream()
                .filter(view -> view.mConnected && mBoard.mOwned.containsKey(view.mPartition))
                .forEach(this::welcome);
    }

    void welcome(SidecarView view) {
        List<String> addresses =
                mBoard.mEntries.values().stream()
                        .map(entry -> entry.value().peerAddress())
                        .toList();
        mBoard.mOutbox.send(view.node(), new Welcome(mBoard.self(), addresses));
    }
}
