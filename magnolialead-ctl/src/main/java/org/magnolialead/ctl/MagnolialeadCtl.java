package org.magnolialead.ctl;

import java.io.PrintStream;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommands;

/**
 * Command line tool for operators.
 */
public final class MagnolialeadCtl {

	private final ControlConnectionFactory connections;

	private final PrintStream output;

	private final PrintStream errors;

	/**
	 * Creates the command line.
	 * @param connections opens connections to control daemons
	 * @param output receives results
	 * @param errors receives one line for each failure
	 */
	public MagnolialeadCtl(ControlConnectionFactory connections, PrintStream output, PrintStream errors) {
		this.connections = connections;
		this.output = output;
		this.errors = errors;
	}

	/**
	 * Runs one command and exits the process with its exit code.
	 * @param arguments command line arguments
	 */
	public static void main(String[] arguments) {
		InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
		int exitCode;
		try (PeerControlConnections connections = new PeerControlConnections()) {
			exitCode = new MagnolialeadCtl(connections, System.out, System.err).run(arguments);
		}
		System.exit(exitCode);
	}

	/**
	 * Runs one command.
	 * @param arguments command line arguments
	 * @return the exit code: 0 on success, 1 on failure and 2 for wrong arguments
	 */
	public int run(String... arguments) {
		RootArguments root = new RootArguments();
		try {
			new CmdLineParser(root).parseArgument(arguments);
			root.command.run(new CtlContext(this.connections, this.output));
			return 0;
		}
		catch (CmdLineException ex) {
			return reportFailure(CtlException.WRONG_ARGUMENTS, ex.getMessage());
		}
		catch (CtlException ex) {
			return reportFailure(ex.exitCode(), ex.getMessage());
		}
		catch (RuntimeException ex) {
			return reportFailure(CtlException.FAILURE, ex.toString());
		}
	}

	private int reportFailure(int exitCode, String message) {
		this.errors.println("magnolialead-ctl: " + String.valueOf(message).replaceAll("\\s*\\R\\s*", " "));
		return exitCode;

	}

	/**
	 * Arguments of the program.
	 */
	private static final class RootArguments {

		@Argument(required = true, metaVar = "status|config|initialize|forget-member|load|report|timeline|experiment",
				handler = CommandHandler.class)
		@SubCommands({ @SubCommand(name = "status", impl = StatusCommand.class),
				@SubCommand(name = "config", impl = ConfigCommand.class),
				@SubCommand(name = "initialize", impl = InitializeCommand.class),
				@SubCommand(name = "forget-member", impl = ForgetMemberCommand.class),
				@SubCommand(name = "load", impl = LoadCommand.class),
				@SubCommand(name = "report", impl = ReportCommand.class),
				@SubCommand(name = "timeline", impl = TimelineCommand.class),
				@SubCommand(name = "experiment", impl = ExperimentCommand.class) })
		private CtlCommand command;

	}

}
