package org.jackdawsaddle.internal.dispatch;

import java.util.Optional;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.store.StoreValue;

/**
 * Handles the answers and notifications of the store and passes each value to the responsible
 * controller.
 */
final class StoreController {
    private final EntryState mState;
    private final MembershipController mMembership;
    private final ClaimController mClaims;
    private final OwnershipController mOwnership;
    private final ConfigurationController mConfiguration;
    private final PartitionHandover mHandover;
    private final WelcomeSender mWelcomeSender;
    private final Layout mInitialLayout;

    /** Whether a write of the initial layout was sent and need not be repeated. */
    private boolean mLayoutWriteSent;

    StoreController(
            EntryState state,
            MembershipController membership,
            ClaimController claims,
            OwnershipController ownership,
            ConfigurationController configuration,
            PartitionHandover handover,
            WelcomeSender welcomeSender,
            Layout initialLayout) {
        mState = state;
        mMembership = membership;
        mClaims = claims;
        mOwnership = ownership;
        mConfiguration = configuration;
        mHandover = handover;
        mWelcomeSender = welcomeSender;
        mInitialLayout = initialLayout;
    }

    /** Writes the initial layout if none is known; a layout that the store already has is kept. */
    void onTick() {
        if (mState.mPartitionMap.isEmpty() && !mLayoutWriteSent) {
            mLayoutWriteSent = true;
            mState.mOutbox.write(StoreKeys.LAYOUT, 0, mInitialLayout, Optional.empty());
        }
    }

    /**
     * Handles a value that was read from the store. Ignores unknown keys and the absence of a
     * configuration or of a partition record.
     */
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
            mWelcomeSender.sendToOwnedSidecars();
        } else if (StoreKeys.isPartition(key) && !value.absent()) {
            onPartitionRecord(Json.read(value.value(), PartitionRecord.class), value.version());
        }
    }

    private void onLayout(StoreValue value) {
        if (value.absent()) {
            mLayoutWriteSent = false;
            return;
        }
        Layout layout = Json.read(value.value(), Layout.class);
        mState.mPartitionCount = layout.partitions();
        mState.mPartitionMap = Optional.of(new PartitionMap(layout.partitions()));
        mState.mSidecars.values().forEach(mConfiguration::onAnnounced);
    }

    /**
     * Handles a partition record, unless a newer version is known. If the partition is not owned
     * here, the record may show that a claim has taken effect. If it is owned here, the record ends
     * the ownership, replaces the known record, or shows that a pending roster write has not taken
     * effect.
     */
    private void onPartitionRecord(PartitionRecord record, long version) {
        int index = record.index();
        Versioned<PartitionRecord> known = mState.mPartitionRecords.get(index);
        if (known != null && known.version() > version) {
            return;
        }
        mState.mPartitionRecords.put(index, new Versioned<>(version, record));
        OwnedPartition owned = mState.mOwnedPartitions.get(index);
        if (owned == null) {
            mClaims.onRecord(record, version).ifPresent(mOwnership::sealSidecars);
            return;
        }
        boolean ownedHere =
                record.currentOwner().filter(mState.self()::equals).isPresent()
                        && record.epoch() == owned.mEpoch;
        if (record.epoch() > owned.mEpoch || !ownedHere && record.epoch() == owned.mEpoch) {
            mHandover.endOwnership(owned);
        } else if (ownedHere && version > owned.mRecordVersion) {
            mOwnership.adoptRecord(owned, record, version);
        } else if (ownedHere && owned.pendingRecord().isPresent()) {
            mOwnership.retryRosterWrite(owned);
        }
    }

    /**
     * Handles the answer of the store to a write.
     *
     * @param version the version of the written value, or empty if the write was rejected
     */
    void onWritten(String key, Optional<Long> version) {
        if (key.equals(StoreKeys.LAYOUT)) {
            mState.mOutbox.read(key);
        } else if (StoreKeys.isEntry(key)) {
            mMembership.onOwnRecordWritten(version);
        } else if (StoreKeys.isPartition(key)) {
            onPartitionWritten(StoreKeys.partitionIndex(key), version);
        }
    }

    private void onPartitionWritten(int index, Optional<Long> version) {
        OwnedPartition owned = mState.mOwnedPartitions.get(index);
        if (owned == null) {
            mClaims.onWritten(index, version).ifPresent(mOwnership::sealSidecars);
        } else if (version.isPresent() && owned.pendingRecord().isPresent()) {
            onPartitionRecord(owned.pendingRecord().get(), version.get());
        } else {
            mState.mOutbox.read(StoreKeys.partition(index));
        }
    }

    /** Handles a call that the store has not answered; a write may have taken effect. */
    void onFailed(String key) {
        mState.count(EntryCounter.STORE_FAILURES);
        if (key.equals(StoreKeys.LAYOUT)) {
            mLayoutWriteSent = false;
        } else if (StoreKeys.isPartition(key)) {
            mClaims.onFailed(StoreKeys.partitionIndex(key));
        }
    }
}
