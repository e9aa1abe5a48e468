package io.bilberryvalve.cli;

import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/**
 * The operator command.
 *
 * <pre>
 * bilberryvalve check federation.json pavio.json
 * bilberryvalve submit pavio.json --entry 127.0.0.1:8001 --key-file operator.key
 * bilberryvalve report burn --entry 127.0.0.1:8001 --json
 * </pre>
 *
 * {@link ExitCode} lists the exit codes.
 */
public final class Bilberryvalve {

	private static final int USAGE_WIDTH = 110;

	@Argument(metaVar = "COMMAND", handler = SubCommandHandler.class,
			usage = "check, diff, submit, show, entries, call, drain, status or report")
	@SubCommands({ @SubCommand(name = "check", impl = CheckCommand.class),
			@SubCommand(name = "diff", impl = DiffCommand.class),
			@SubCommand(name = "submit", impl = SubmitCommand.class),
			@SubCommand(name = "show", impl = ShowCommand.class),
			@SubCommand(name = "entries", impl = EntriesCommand.class),
			@SubCommand(name = "call", impl = CallCommand.class),
			@SubCommand(name = "drain", impl = DrainCommand.class),
			@SubCommand(name = "status", impl = StatusCommand.class),
			@SubCommand(name = "report", impl = ReportCommand.class) })
	@Nullable Command command;

	@Option(name = "--help", aliases = "-h", help = true, usage = "print this text")
	boolean help;

	private Bilberryvalve() {
	}

	/**
	 * Runs the command and exits with its exit code.
	 * @param arguments the arguments
	 */
	public static void main(String[] arguments) {
		Console console = new Console(System.out, System.err, System.getenv(), Bilberryvalve::sleep);
		System.exit(run(console, arguments).code());
	}

	private static void sleep(Duration duration) {
		try {
			TimeUnit.NANOSECONDS.sleep(duration.toNanos());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Runs the command.
	 * @param console where it prints
	 * @param arguments the arguments
	 * @return the exit code
	 */
	public static ExitCode run(Console console, String... arguments) {
		Bilberryvalve main = new Bilberryvalve();
		CmdLineParser parser = parser(main);
		try {
			parser.parseArgument(arguments);
		}
		catch (CmdLineException ex) {
			console.err().println("error: " + ex.getMessage() + "; add --help for the usage");
			return ExitCode.USAGE;
		}
		if (main.help || main.command == null) {
			usage(main.help ? console.out() : console.err(), parser);
			return main.help ? ExitCode.OK : ExitCode.USAGE;
		}
		return run(console, main.command.chosen());
	}

	private static ExitCode run(Console console, Command command) {
		if (command.help()) {
			console.out().println("bilberryvalve " + command.summary());
			parser(command).printUsage(console.out());
			return ExitCode.OK;
		}
		try {
			return command.run(console);
		}
		catch (CommandException ex) {
			console.err().println("error: " + ex.getMessage());
			if (command instanceof LocalOptions options && options.json) {
				console.out()
					.println(JsonNodeFactory.instance.objectNode()
						.put("exitCode", ex.exitCode().code())
						.put("error", ex.getMessage()));
			}
			return ex.exitCode();
		}
	}

	private static void usage(PrintStream out, CmdLineParser parser) {
		out.println("bilberryvalve COMMAND [OPTIONS]; COMMAND --help prints the options of a command");
		parser.printUsage(out);
		for (Command command : new Command[] { new CheckCommand(), new DiffCommand(), new SubmitCommand(),
				new ShowCommand(), new EntriesCommand(), new CallCommand(), new DrainCommand(), new StatusCommand(),
				new BurnCommand() }) {
			out.println("  " + command.summary());
		}
		out.println("exit codes:");
		for (ExitCode code : ExitCode.values()) {
			out.println("  " + code.code() + " " + code.text());
		}
	}

	private static CmdLineParser parser(Object bean) {
		return new CmdLineParser(bean,
				ParserProperties.defaults().withUsageWidth(USAGE_WIDTH).withShowDefaults(false).withOptionSorter(null));
	}

}
