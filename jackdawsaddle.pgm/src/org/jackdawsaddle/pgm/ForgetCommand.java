package org.jackdawsaddle.pgm;

import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Takes a sidecar that will never come back out of the rosters. */
@Command(
        name = "forget",
        mixinStandardHelpOptions = true,
        description = {
            "Takes the sidecar of a target that has ended for good out of the rosters.",
            "Needed only where a takeover waits for sidecars that will never come back.",
            "Make sure first that its instance is gone: its work could be started again."
        })
final class ForgetCommand extends AdminCommand {
    @Parameters(paramLabel = "TARGET", description = "The name of the target instance.")
    private String mTarget;

    @Override
    public Integer call() {
        String body =
                client().requireSuccess(client().send("POST", "/admin/v1/forget/" + mTarget, ""))
                        .body();
        print(body, List.of(body));
        return Main.OK;
    }
}
