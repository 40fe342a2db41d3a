package org.jackdawsaddle.internal.wire;

import java.util.Optional;
import org.jackdawsaddle.internal.message.PoolMessage.HandOver;
import org.jackdawsaddle.internal.message.PoolMessage.HandOverAnswer;
import org.jackdawsaddle.internal.wire.proto.Wire;
import org.jackdawsaddle.pool.PoolAnswer;
import org.jackdawsaddle.pool.PoolJob;
import org.jackdawsaddle.pool.PoolStep;

/** Encodes and decodes the messages by which entries of a pool hand jobs over to each other. */
final class HandOverCodec {
    private static final int DECLINED = 0;
    private static final int SUCCEEDED = 1;
    private static final int FAILED = 2;
    private static final int REFUSED = 3;
    private static final int ABANDONED = 4;

    private HandOverCodec() {}

    static Wire.PoolHandOver encode(HandOver handOver) {
        PoolJob job = handOver.job();
        Wire.PoolHandOver.Builder encoded =
                Wire.PoolHandOver.newBuilder()
                        .setNumber(handOver.number())
                        .setJob(job.id())
                        .setQueue(job.queue())
                        .setPayload(job.payload())
                        .setRemainingMillis(handOver.remainingMillis());
        job.steps().forEach(step -> encoded.addSteps(encode(step)));
        return encoded.build();
    }

    private static Wire.PoolStep encode(PoolStep step) {
        return Wire.PoolStep.newBuilder()
                .setTasks(step.tasks())
                .setDemand(WireCodec.encode(step.demand()))
                .setExpectedMillis(step.expectedMillis())
                .addAllAfter(step.after())
                .setRequiredLabel(step.requiredLabel().orElse(""))
                .setPreferredLabel(step.preferredLabel().orElse(""))
                .setMaxPerTarget(step.maxPerTarget())
                .build();
    }

    static HandOver decode(Wire.PoolHandOver encoded) {
        return new HandOver(
                encoded.getNumber(),
                new PoolJob(
                        encoded.getJob(),
                        encoded.getQueue(),
                        encoded.getPayload(),
                        encoded.getStepsList().stream().map(HandOverCodec::decode).toList(),
                        0),
                encoded.getRemainingMillis());
    }

    private static PoolStep decode(Wire.PoolStep step) {
        return new PoolStep(
                step.getTasks(),
                WireCodec.decode(step.getDemand()),
                step.getExpectedMillis(),
                step.getAfterList(),
                label(step.getRequiredLabel()),
                label(step.getPreferredLabel()),
                step.getMaxPerTarget());
    }

    private static Optional<String> label(String encoded) {
        return Optional.of(encoded).filter(label -> !label.isEmpty());
    }

    static Wire.PoolHandOverAnswer encode(HandOverAnswer answer) {
        Wire.PoolHandOverAnswer.Builder encoded =
                Wire.PoolHandOverAnswer.newBuilder().setNumber(answer.number());
        answer.answer().ifPresent(given -> encode(given, encoded));
        return encoded.build();
    }

    private static void encode(PoolAnswer answer, Wire.PoolHandOverAnswer.Builder encoded) {
        encoded.setReason(answer.optionalReason().orElse(""));
        switch (answer) {
            case PoolAnswer.Succeeded succeeded -> encoded.setOutcome(SUCCEEDED);
            case PoolAnswer.Failed failed -> encoded.setOutcome(FAILED);
            case PoolAnswer.Refused refused ->
                    encoded.setOutcome(REFUSED).setRetryMillis(refused.retryMillis());
            case PoolAnswer.Abandoned abandoned -> encoded.setOutcome(ABANDONED);
        }
    }

    static HandOverAnswer decode(Wire.PoolHandOverAnswer encoded) {
        String reason = encoded.getReason();
        Optional<PoolAnswer> answer =
                switch (encoded.getOutcome()) {
                    case DECLINED -> Optional.empty();
                    case SUCCEEDED -> Optional.of(new PoolAnswer.Succeeded());
                    case FAILED -> Optional.of(new PoolAnswer.Failed(reason));
                    case REFUSED ->
                            Optional.of(new PoolAnswer.Refused(reason, encoded.getRetryMillis()));
                    case ABANDONED -> Optional.of(new PoolAnswer.Abandoned(reason));
                    default ->
                            throw new IllegalArgumentException(
                                    "Unknown outcome: " + encoded.getOutcome());
                };
        return new HandOverAnswer(encoded.getNumber(), answer);
    }
}
