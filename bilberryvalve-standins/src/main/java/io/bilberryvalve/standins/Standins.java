package io.bilberryvalve.standins;

import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/**
 * Main class of the stand-ins: {@code Standins engine|application|platform [options]}.
 * Once the stand-in accepts connections, it prints {@code listening ADDRESS}.
 */
public final class Standins {

	private static final int EXIT_USAGE = 64;

	/** Kept, since the log manager refers to its loggers weakly. */
	private static final List<Logger> LIBRARIES = List.of(Logger.getLogger("io.servicetalk"),
			Logger.getLogger("io.netty"));

	@Argument(required = true, metaVar = "engine|application|platform", handler = SubCommandHandler.class)
	@SubCommands({ @SubCommand(name = "engine", impl = EngineCommand.class),
			@SubCommand(name = "application", impl = ApplicationCommand.class),
			@SubCommand(name = "platform", impl = PlatformCommand.class) })
	private @Nullable Runnable command;

	private Standins() {
	}

	/**
	 * Runs a stand-in until the process is ended.
	 * @param arguments sub-command and its options
	 */
	public static void main(String[] arguments) {
		LIBRARIES.forEach((logger) -> logger.setLevel(Level.WARNING));
		Standins standins = new Standins();
		try {
			new CmdLineParser(standins).parseArgument(arguments);
		}
		catch (CmdLineException ex) {
			System.err.println(ex.getMessage());
			ex.getParser().printUsage(System.err);
			System.exit(EXIT_USAGE);
		}
		if (standins.command != null) {
			standins.command.run();
		}
	}

}
