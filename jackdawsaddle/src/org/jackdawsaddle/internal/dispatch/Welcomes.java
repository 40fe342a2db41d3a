package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import org.jackdawsaddle.internal.message.EntryMessage.Welcome;

/** Tells sidecars which entries there are. */
final class Welcomes {
    private final EntryBoard mBoard;
    private List<String> mTold = List.of();

    Welcomes(EntryBoard board) {
        mBoard = board;
    }

    /** Tells the sidecars that this entry decides for where all entries listen, if it changed. */
    void welcomeOwnSidecars() {
        List<String> addresses = addresses();
        if (addresses.equals(mTold)) {
            return;
        }
        mTold = addresses;
        mBoard.mSidecars.values().stream()
                .filter(view -> view.mConnected && mBoard.mOwned.containsKey(view.mPartition))
                .forEach(this::welcome);
    }

    void welcome(SidecarView view) {
        mBoard.mOutbox.send(view.node(), new Welcome(mBoard.self(), addresses()));
    }

    private List<String> addresses() {
        return mBoard.mEntries.values().stream()
                .map(entry -> entry.value().peerAddress())
                .sorted()
                .toList();
    }
}
