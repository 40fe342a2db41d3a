package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import org.jackdawsaddle.internal.message.EntryMessage.Welcome;

/** Sends sidecars the addresses of the other entries, as recorded in the store. */
final class WelcomeSender {
    private final EntryState mState;
    private List<String> mSentAddresses = List.of();

    WelcomeSender(EntryState state) {
        mState = state;
    }

    /**
     * Sends the addresses to the connected sidecars of the partitions that this entry owns, if the
     * addresses have changed since the previous call.
     */
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

    /** Sends the addresses to a sidecar that has connected. */
    void send(SidecarView view) {
        mState.mOutbox.sendToSidecar(view.node(), new Welcome(mState.self(), addresses()));
    }

    private List<String> addresses() {
        return mState.mEntryRecords.values().stream()
                .map(entry -> entry.value().peerAddress())
                .sorted()
                .toList();
    }
}
