package org.jackdawsaddle.pgm;

import java.util.Set;
import org.jackdawsaddle.errors.JackdawException;
import org.jackdawsaddle.platform.PlatformRole;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import sun.misc.Signal;

/** The command line, with a subcommand for each kind of process and each operation. */
@Command(
        name = "jackdawsaddle",
        mixinStandardHelpOptions = true,
        version = "jackdawsaddle 0.1.0",
        description = "Dispatches sub-second tasks to targets of different age and speed.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:success",
            "1:negative result: findings, a difference, a failed check, a refused or failed job",
            "2:the command line, an input file or a settings file is invalid",
            "3:an entry, a target or the store cannot be reached"
        },
        subcommands = {
            EntryCommand.class,
            SidecarCommand.class,
            StoreCommand.class,
            TargetCommand.class,
            CheckCommand.class,
            PublishCommand.class,
            ShowCommand.class,
            DiffCommand.class,
            AuditCommand.class,
            DrainCommand.class,
            StatusCommand.class,
            SubmitCommand.class,
            ForgetCommand.class,
            SettingsCommand.class,
            ReplayCommand.class,
            ExplainCommand.class,
            DemoCommand.class,
            MeasureCommand.class,
            SwarmCommand.class,
            PlatformCommand.class,
            AutoComplete.GenerateCompletion.class
        })
public final class Main {
    /** The exit code of success. */
    public static final int OK = 0;

    /**
     * The exit code of findings, differences, failed checks, unconfirmed revisions, rejected
     * requests and refused or failed jobs; also of unexpected exceptions.
     */
    public static final int NEGATIVE_RESULT = 1;

    /** The exit code of an invalid command line, input file or settings file. */
    public static final int INVALID_INPUT = 2;

    /** The exit code if an entry, a target or the store cannot be reached. */
    public static final int UNREACHABLE = 3;

    /**
     * The roles that the platform starts. They log to standard output, as the platform requires,
     * ignore SIGHUP until they handle it, and start without the command line parser.
     */
    private static final Set<String> PLATFORM_ROLES = Set.of("entry", "sidecar");

    private static final String ENTRY = "entry";
    private static final String PLATFORM = "platform";
    private static final String DEMO = "demo";
    private static final String SETTINGS_VARIABLE = "JACKDAWSADDLE_CONFIG";

    /**
     * A fixed machine id for Netty, which would otherwise search the network interfaces for one at
     * the start. It is a part of channel ids, which are not used.
     */
    private static final String NETTY_MACHINE_ID = "00:00:00:00:00:00:00:01";

    private Main() {}

    /** Runs a command and ends the process with the exit code of the command. */
    public static void main(String[] arguments) {
        System.setProperty("org.jboss.logging.provider", "log4j2");
        System.setProperty("io.netty.machineId", NETTY_MACHINE_ID);
        if (startedByPlatform(arguments)) {
            // Until the role installs its own handler, a SIGHUP would end the process.
            Signal.handle(new Signal("HUP"), signal -> {});
            RoleLoggerContext.install();
        } else if (arguments.length > 0 && arguments[0].equals(DEMO)) {
            ProcessLogs.installForDemo();
        }
        System.setProperty("java.util.logging.manager", "org.apache.logging.log4j.jul.LogManager");
        System.exit(startedByPlatform(arguments) ? runRole(arguments[1]) : run(arguments));
    }

    /**
     * Returns whether the platform started this process, as in deploy/system.toml: the command is
     * "platform" with a role alone, and the environment variable names the settings file.
     */
    private static boolean startedByPlatform(String... arguments) {
        return arguments.length == 2
                && arguments[0].equals(PLATFORM)
                && PLATFORM_ROLES.contains(arguments[1])
                && System.getenv(SETTINGS_VARIABLE) != null;
    }

    /**
     * Runs a role without the command line parser, which would delay the start. The delay matters
     * when all processes restart at once.
     *
     * @return the exit code
     */
    private static int runRole(String role) {
        String file = System.getenv(SETTINGS_VARIABLE);
        try {
            ServiceProcess.run(
                    role.equals(ENTRY) ? PlatformRole.entry(file) : PlatformRole.sidecar(file));
            return OK;
        } catch (JackdawException e) {
            System.err.println(e.getMessage());
            return INVALID_INPUT;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return OK;
        }
    }

    /** Runs a command in this process and returns its exit code. */
    public static int run(String... arguments) {
        return new CommandLine(new Main())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler(Main::onFailure)
                .execute(arguments);
    }

    private static int onFailure(
            Exception failure, CommandLine command, CommandLine.ParseResult result)
            throws Exception {
        if (!(failure instanceof JackdawException reported)) {
            throw failure;
        }
        command.getErr().println(reported.getMessage());
        return switch (reported.errorCode()) {
            case SETTINGS_INVALID, REQUEST_INVALID -> INVALID_INPUT;
            case STORE_UNAVAILABLE, OWNER_UNREACHABLE, TARGET_UNREACHABLE -> UNREACHABLE;
            default -> NEGATIVE_RESULT;
        };
    }
}
