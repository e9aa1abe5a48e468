package io.bilberryvalve.standins.demo;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/**
 * Main class of the demo's callers. Exit codes: 0 if everything happened as expected, 1
 * if not, 64 for wrong arguments.
 */
public final class Demo {

	private static final int EXIT_USAGE = 64;

	@Argument(required = true, metaVar = "ports|await|reply|stages|load|executions", handler = SubCommandHandler.class)
	@SubCommands({ @SubCommand(name = "ports", impl = PortsCommand.class),
			@SubCommand(name = "await", impl = AwaitCommand.class),
			@SubCommand(name = "reply", impl = ReplyCommand.class),
			@SubCommand(name = "stages", impl = StagesCommand.class),
			@SubCommand(name = "load", impl = LoadCommand.class),
			@SubCommand(name = "executions", impl = ExecutionsCommand.class) })
	private @Nullable DemoCommand command;

	private Demo() {
	}

	/**
	 * Runs a sub-command.
	 * @param arguments sub-command and its options
	 */
	public static void main(String[] arguments) {
		Demo demo = new Demo();
		try {
			new CmdLineParser(demo).parseArgument(arguments);
		}
		catch (CmdLineException ex) {
			System.err.println(ex.getMessage());
			ex.getParser().printUsage(System.err);
			System.exit(EXIT_USAGE);
		}
		boolean succeeded = false;
		try {
			succeeded = demo.command != null && demo.command.run();
		}
		catch (Exception ex) {
			System.err.println("failed: " + ex);
		}
		System.exit(succeeded ? 0 : 1);
	}

}
