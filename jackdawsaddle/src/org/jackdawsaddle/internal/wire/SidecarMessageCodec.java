package org.jackdawsaddle.internal.wire;

import org.jackdawsaddle.internal.message.SidecarMessage;
import org.jackdawsaddle.internal.message.SidecarMessage.ConfigurationApplied;
import org.jackdawsaddle.internal.message.SidecarMessage.InquiryAnswer;
import org.jackdawsaddle.internal.message.SidecarMessage.LeaseRenewed;
import org.jackdawsaddle.internal.message.SidecarMessage.Sealed;
import org.jackdawsaddle.internal.message.SidecarMessage.SidecarHello;
import org.jackdawsaddle.internal.message.SidecarMessage.TaskResults;
import org.jackdawsaddle.internal.wire.proto.Wire;
import org.jackdawsaddle.internal.wire.proto.Wire.Envelope;

/** Encodes and decodes messages from sidecars to entries, except those of a pool. */
final class SidecarMessageCodec {

    private SidecarMessageCodec() {}

    static void encode(SidecarMessage message, Envelope.Builder envelope) {
        switch (message) {
            case SidecarHello hello -> envelope.setSidecarHello(encodeHello(hello));
            case TaskResults results ->
                    envelope.getTaskResultsBuilder()
                            .setPartition(results.partition())
                            .addAllResults(WireCodec.encodeResults(results.results()));
            case Sealed sealed ->
                    envelope.getSealedBuilder()
                            .setPartition(sealed.partition())
                            .setEpoch(sealed.epoch())
                            .setNewestIdMillis(sealed.newestIdMillis())
                            .setNewestRenewal(sealed.newestRenewal());
            case LeaseRenewed renewed ->
                    envelope.getLeaseRenewedBuilder()
                            .setPartition(renewed.partition())
                            .setEpoch(renewed.epoch())
                            .setSentAt(renewed.sentAt());
            case InquiryAnswer answer ->
                    envelope.getInquiryAnswerBuilder()
                            .setPartition(answer.partition())
                            .setNumber(answer.number())
                            .addAllKnown(WireCodec.encodeResults(answer.known()));
            case ConfigurationApplied applied ->
                    envelope.getConfigurationAppliedBuilder().setRevision(applied.revision());
        }
    }

    private static Wire.SidecarHello encodeHello(SidecarHello hello) {
        return Wire.SidecarHello.newBuilder()
                .setSidecar(WireCodec.encode(hello.sidecar()))
                .setTarget(hello.target())
                .setService(hello.service())
                .setDataCentre(hello.dataCentre())
                .setSlots(hello.slots())
                .setConnections(hello.connections())
                .setCapacity(WireCodec.encode(hello.capacity()))
                .setServing(hello.serving())
                .setStartedAt(hello.startedAt())
                .setRevision(hello.revision())
                .setLeaving(hello.leaving())
                .build();
    }

    static SidecarMessage decode(Envelope envelope) {
        return switch (envelope.getBodyCase()) {
            case SIDECAR_HELLO -> decodeHello(envelope.getSidecarHello());
            case TASK_RESULTS -> {
                Wire.TaskResults results = envelope.getTaskResults();
                yield new TaskResults(
                        results.getPartition(), WireCodec.decodeResults(results.getResultsList()));
            }
            case SEALED -> {
                Wire.Sealed sealed = envelope.getSealed();
                yield new Sealed(
                        sealed.getPartition(),
                        sealed.getEpoch(),
                        sealed.getNewestIdMillis(),
                        sealed.getNewestRenewal());
            }
            case LEASE_RENEWED -> {
                Wire.LeaseRenewed renewed = envelope.getLeaseRenewed();
                yield new LeaseRenewed(
                        renewed.getPartition(), renewed.getEpoch(), renewed.getSentAt());
            }
            case INQUIRY_ANSWER -> {
                Wire.InquiryAnswer answer = envelope.getInquiryAnswer();
                yield new InquiryAnswer(
                        answer.getPartition(),
                        answer.getNumber(),
                        WireCodec.decodeResults(answer.getKnownList()));
            }
            default -> new ConfigurationApplied(envelope.getConfigurationApplied().getRevision());
        };
    }

    private static SidecarHello decodeHello(Wire.SidecarHello hello) {
        return new SidecarHello(
                WireCodec.decode(hello.getSidecar()),
                hello.getTarget(),
                hello.getService(),
                hello.getDataCentre(),
                hello.getSlots(),
                hello.getConnections(),
                WireCodec.decode(hello.getCapacity()),
                hello.getServing(),
                hello.getStartedAt(),
                hello.getRevision(),
                hello.getLeaving());
    }
}
