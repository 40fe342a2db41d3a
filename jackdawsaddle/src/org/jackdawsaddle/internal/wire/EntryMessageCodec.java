package org.jackdawsaddle.internal.wire;

import org.jackdawsaddle.internal.message.EntryMessage;
import org.jackdawsaddle.internal.message.EntryMessage.Inquiry;
import org.jackdawsaddle.internal.message.EntryMessage.Release;
import org.jackdawsaddle.internal.message.EntryMessage.RenewLease;
import org.jackdawsaddle.internal.message.EntryMessage.Seal;
import org.jackdawsaddle.internal.message.EntryMessage.StartTasks;
import org.jackdawsaddle.internal.message.EntryMessage.StopTasks;
import org.jackdawsaddle.internal.message.EntryMessage.TargetConfiguration;
import org.jackdawsaddle.internal.message.EntryMessage.Welcome;
import org.jackdawsaddle.internal.wire.proto.Wire;
import org.jackdawsaddle.internal.wire.proto.Wire.Envelope;

/** Encodes and decodes messages from entries to sidecars, except those of a pool. */
final class EntryMessageCodec {

    private EntryMessageCodec() {}

    static void encode(EntryMessage message, Envelope.Builder envelope) {
        switch (message) {
            case Welcome welcome ->
                    envelope.getWelcomeBuilder()
                            .setEntry(WireCodec.encode(welcome.entry()))
                            .addAllEntryAddresses(welcome.entryAddresses());
            case StartTasks start ->
                    envelope.getStartTasksBuilder()
                            .setPartition(start.partition())
                            .setEpoch(start.epoch())
                            .addAllTasks(start.tasks().stream().map(WireCodec::encode).toList());
            case StopTasks stop ->
                    envelope.getStopTasksBuilder()
                            .setPartition(stop.partition())
                            .setEpoch(stop.epoch())
                            .addAllTasks(stop.tasks().stream().map(WireCodec::encode).toList());
            case Seal seal ->
                    envelope.getSealBuilder().setPartition(seal.partition()).setEpoch(seal.epoch());
            case Release release ->
                    envelope.getReleaseBuilder()
                            .setPartition(release.partition())
                            .setEpoch(release.epoch());
            case RenewLease renew ->
                    envelope.getRenewLeaseBuilder()
                            .setPartition(renew.partition())
                            .setEpoch(renew.epoch())
                            .setSentAt(renew.sentAt());
            case Inquiry inquiry ->
                    envelope.getInquiryBuilder()
                            .setPartition(inquiry.partition())
                            .setEpoch(inquiry.epoch())
                            .setNumber(inquiry.number())
                            .addAllSubmissions(
                                    inquiry.submissions().stream().map(WireCodec::encode).toList());
            case TargetConfiguration configuration ->
                    envelope.getTargetConfigurationBuilder()
                            .setRevision(configuration.revision())
                            .setDrained(configuration.drained())
                            .setSlots(configuration.slots());
        }
    }

    static EntryMessage decode(Envelope envelope) {
        return switch (envelope.getBodyCase()) {
            case WELCOME ->
                    new Welcome(
                            WireCodec.decode(envelope.getWelcome().getEntry()),
                            envelope.getWelcome().getEntryAddressesList());
            case START_TASKS -> {
                Wire.StartTasks start = envelope.getStartTasks();
                yield new StartTasks(
                        start.getPartition(),
                        start.getEpoch(),
                        start.getTasksList().stream().map(WireCodec::decode).toList());
            }
            case STOP_TASKS -> {
                Wire.StopTasks stop = envelope.getStopTasks();
                yield new StopTasks(
                        stop.getPartition(),
                        stop.getEpoch(),
                        stop.getTasksList().stream().map(WireCodec::decode).toList());
            }
            case SEAL -> new Seal(envelope.getSeal().getPartition(), envelope.getSeal().getEpoch());
            case RELEASE ->
                    new Release(
                            envelope.getRelease().getPartition(), envelope.getRelease().getEpoch());
            case RENEW_LEASE -> {
                Wire.RenewLease renew = envelope.getRenewLease();
                yield new RenewLease(renew.getPartition(), renew.getEpoch(), renew.getSentAt());
            }
            case INQUIRY -> {
                Wire.Inquiry inquiry = envelope.getInquiry();
                yield new Inquiry(
                        inquiry.getPartition(),
                        inquiry.getEpoch(),
                        inquiry.getNumber(),
                        inquiry.getSubmissionsList().stream().map(WireCodec::decode).toList());
            }
            default -> {
                Wire.TargetConfiguration configuration = envelope.getTargetConfiguration();
                yield new TargetConfiguration(
                        configuration.getRevision(),
                        configuration.getDrained(),
                        configuration.getSlots());
            }
        };
    }
}
