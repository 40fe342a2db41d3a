package org.jackdawsaddle.pgm;

import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Retires the sidecar of a permanently lost target instance in all rosters. */
@Command(
        name = "forget",
        mixinStandardHelpOptions = true,
        description = {
            "Retires the sidecar of a permanently lost target instance in all rosters.",
            "Needed only if a takeover waits for a sidecar that will never return.",
            "Make sure first that the instance is gone; otherwise its tasks may be started twice."
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
