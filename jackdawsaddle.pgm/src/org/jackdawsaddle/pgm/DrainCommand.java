package org.jackdawsaddle.pgm;

import java.util.ArrayList;
import java.util.List;
import org.jackdawsaddle.config.AuditRecord;
import org.jackdawsaddle.config.ConfigurationHead;
import org.jackdawsaddle.config.ConfigurationSet;
import org.jackdawsaddle.config.TargetObject;
import org.jackdawsaddle.errors.RequestInvalidException;
import org.jackdawsaddle.internal.dispatch.EntryStatus;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Publishes the configuration in force at an entry with one target drained or no longer drained.
 */
@Command(
        name = "drain",
        mixinStandardHelpOptions = true,
        description =
                "Marks a target as drained: it gets no new tasks and finishes those that it runs.")
final class DrainCommand extends AdminCommand {
    @Parameters(paramLabel = "TARGET", description = "The name of the target.")
    private String mTarget;

    @Option(names = "--undo", description = "End the draining: give the target tasks again.")
    private boolean mUndo;

    @Mixin private Publication mPublication;

    @Override
    public Integer call() {
        ConfigurationHead head = client().configuration();
        ConfigurationSet set = head.set();
        List<TargetObject> targets = new ArrayList<>(set.targets());
        TargetObject current =
                set.target(mTarget).orElseGet(() -> new TargetObject(mTarget, service(), false, 0));
        targets.removeIf(target -> target.name().equals(mTarget));
        targets.add(new TargetObject(mTarget, current.service(), !mUndo, current.slots()));
        ConfigurationSet changed =
                new ConfigurationSet(
                        set.services(), targets, set.jobKinds(), set.limits(), set.teams());
        AuditRecord record = mPublication.publish(client(), head.revision(), changed);
        List<String> unconfirmed = mPublication.awaitConfirmation(client(), record.revision());
        List<String> lines = new ArrayList<>();
        lines.add(
                mTarget
                        + (mUndo ? " is no longer marked as drained" : " is marked as drained")
                        + ", revision "
                        + record.revision());
        unconfirmed.forEach(process -> lines.add("not confirmed: " + process));
        print(new PublishCommand.Result(record, unconfirmed), lines);
        return unconfirmed.isEmpty() ? Main.OK : Main.NEGATIVE_RESULT;
    }

    private String service() {
        return client().status().stream()
                .flatMap(status -> status.targets().stream())
                .filter(target -> target.target().equals(mTarget))
                .map(EntryStatus.TargetStatus::service)
                .findFirst()
                .orElseThrow(() ->
                        new RequestInvalidException(
                                "TARGET: no entry that responds reports a target named "
                                        + mTarget));
    }
}
