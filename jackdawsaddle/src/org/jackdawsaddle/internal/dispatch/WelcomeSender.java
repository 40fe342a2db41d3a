package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import org.jackdawsaddle.internal.message.EntryMessage.Welcome;

/** Tells sidecars which entries there are. */
final class WelcomeSender {
    private final EntryState mState;
    private List<String> mSentAddresses = List.of();

    WelcomeSender(EntryState state) {
        mState = state;
    }

    /** Tells the sidecars that this entry decides for where all entries listen, if it changed. */
    void sendToOwnedSidecars() {
        List<String> addresses = addresses();
        if (addresses.equals(mSentAddresses)) {
            return;
        }
        mSentAddresses = addresses;
        mState.mSidecars.values().stream()
                .filter(view ->
                        view.mConnected && mState.mOwnedPartitions.containsKey(view.mPartition))
                .forEach(this::send);
    }

    void send(SidecarView view) {
        mState.mOutbox.send(view.node(), new Welcome(mState.self(), addresses()));
    }

    private List<String> addresses() {
        return mState.mEntryRecords.values().stream()
                .map(entry -> entry.value().peerAddress())
                .sorted()
                .toList();
    }
}
