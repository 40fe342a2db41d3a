package org.jackdawsaddle.internal.dispatch;

import java.util.Optional;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.store.StoreValue;

/** Takes what the store says, and hands each value to the controller that it concerns. */
final class StoreController {
    private final EntryBoard mBoard;
    private final MembershipController mMembership;
    private final ClaimController mClaims;
    private final OwnershipController mOwnership;
    private final ConfigurationController mConfiguration;
    private final PartitionHandover mHandover;
    private final Welcomes mWelcomes;
    private final Layout mWantedLayout;
    private boolean mLayoutAsked;

    StoreController(
            EntryBoard board,
            MembershipController membership,
            ClaimController claims,
            OwnershipController ownership,
            ConfigurationController configuration,
            PartitionHandover handover,
            Welcomes welcomes,
            Layout wantedLayout) {
        mBoard = board;
        mMembership = membership;
        mClaims = claims;
        mOwnership = ownership;
        mConfiguration = configuration;
        mHandover = handover;
        mWelcomes = welcomes;
        mWantedLayout = wantedLayout;
    }

    /** Writes the layout if none is known; a layout that is there already stays. */
    void onTick() {
        if (mBoard.mMap.isEmpty() && !mLayoutAsked) {
            mLayoutAsked = true;
            mBoard.mOutbox.write(StoreKeys.LAYOUT, 0, mWantedLayout, Optional.empty());
        }
    }

    void onValue(StoreValue value) {
        String key = value.key();
        if (key.equals(StoreKeys.CONFIGURATION) && !value.absent()) {
            mConfiguration.apply(value.value());
        } else if (key.equals(StoreKeys.LAYOUT)) {
            onLayout(value);
        } else if (StoreKeys.isEntry(key)) {
            Optional<EntryRecord> record =
                    value.absent()
                            ? Optional.empty()
                            : Optional.of(Json.read(value.value(), EntryRecord.class));
            mMembership.onEntryRecord(StoreKeys.entryName(key), value.version(), record);
            mWelcomes.welcomeOwnSidecars();
        } else if (StoreKeys.isPartition(key) && !value.absent()) {
            onPartitionRecord(Json.read(value.value(), PartitionRecord.class), value.version());
        }
    }

    private void onLayout(StoreValue value) {
        if (value.absent()) {
            mLayoutAsked = false;
            return;
        }
        Layout layout = Json.read(value.value(), Layout.class);
        mBoard.mPartitionCount = layout.partitions();
        mBoard.mMap = Optional.of(new PartitionMap(layout.partitions()));
        mBoard.mSidecars.values().forEach(mConfiguration::onAnnounced);
    }

    private void onPartitionRecord(PartitionRecord record, long version) {
        int index = record.index();
        Versioned<PartitionRecord> known = mBoard.mPartitions.get(index);
        if (known != null && known.version() > version) {
            return;
        }
        mBoard.mPartitions.put(index, new Versioned<>(version, record));
        OwnedPartition owned = mBoard.mOwned.get(index);
        if (owned == null) {
            mClaims.onRecord(record, version).ifPresent(mOwnership::begin);
            return;
        }
        boolean mine =
                record.holder().filter(mBoard.self()::equals).isPresent()
                        && record.epoch() == owned.mEpoch;
        if (record.epoch() > owned.mEpoch || !mine && record.epoch() == owned.mEpoch) {
            mHandover.lose(owned);
        } else if (mine && version > owned.mVersion) {
            mOwnership.onRecordConfirmed(owned, record, version);
        } else if (mine && owned.pending().isPresent()) {
            mOwnership.rewrite(owned);
        }
    }

    void onWritten(String key, Optional<Long> version) {
        if (key.equals(StoreKeys.LAYOUT)) {
            mBoard.mOutbox.read(key);
        } else if (StoreKeys.isEntry(key)) {
            mMembership.onOwnRecordWritten(version);
        } else if (StoreKeys.isPartition(key)) {
            onPartitionWritten(StoreKeys.partitionIndex(key), version);
        }
    }

    private void onPartitionWritten(int index, Optional<Long> version) {
        OwnedPartition owned = mBoard.mOwned.get(index);
        if (owned == null) {
            mClaims.onWritten(index, version).ifPresent(mOwnership::begin);
        } else if (version.isPresent() && owned.pending().isPresent()) {
            onPartitionRecord(owned.pending().get(), version.get());
        } else {
            mBoard.mOutbox.read(StoreKeys.partition(index));
        }
    }

    void onFailed(String key) {
        mBoard.count(EntryCounter.STORE_FAILURES);
        if (key.equals(StoreKeys.LAYOUT)) {
            mLayoutAsked = false;
        } else if (StoreKeys.isPartition(key)) {
            mClaims.onFailed(StoreKeys.partitionIndex(key));
        }
    }
}
