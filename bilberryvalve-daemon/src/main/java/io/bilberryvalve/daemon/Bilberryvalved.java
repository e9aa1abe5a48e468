package io.bilberryvalve.daemon;

import java.nio.file.Path;

import io.bilberryvalve.config.DaemonSettings;
import io.bilberryvalve.config.Finding;
import io.bilberryvalve.config.Parsed;
import io.bilberryvalve.config.SettingsFile;
import io.bilberryvalve.model.log.LogEvent;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Main class of the entry daemon. Exit codes: 0 after a graceful shutdown, 64 for invalid
 * arguments, 70 if the daemon cannot start, 78 for invalid settings.
 */
public final class Bilberryvalved {

	private static final System.Logger LOGGER = Logging.configure(Bilberryvalved.class);

	private static final int EXIT_USAGE = 64;

	private static final int EXIT_START = 70;

	private static final int EXIT_SETTINGS = 78;

	@Option(name = "--settings", metaVar = "FILE", usage = "settings of this daemon, JSON with comments")
	private @Nullable Path settings;

	@Option(name = "--check", usage = "check the settings and exit")
	private boolean checkOnly;

	@Option(name = "--help", help = true, usage = "print this help")
	private boolean help;

	private Bilberryvalved() {
	}

	/**
	 * Runs the daemon until it receives SIGTERM or an operator drains it.
	 * @param arguments command-line arguments; {@code --help} lists them
	 */
	public static void main(String[] arguments) {
		int code = new Bilberryvalved().run(arguments);
		if (code != 0) {
			System.exit(code);
		}
	}

	private int run(String[] arguments) {
		CmdLineParser parser = new CmdLineParser(this);
		try {
			parser.parseArgument(arguments);
		}
		catch (CmdLineException ex) {
			return usage(parser, ex.getMessage());
		}
		if (this.help) {
			usage(parser, "bilberryvalved runs an entry of a federation.");
			return 0;
		}
		if (this.settings == null) {
			return usage(parser, "no settings file; add --settings FILE");
		}
		Parsed<DaemonSettings> parsed = SettingsFile.read(this.settings);
		if (parsed instanceof Parsed.Valid<DaemonSettings> valid) {
			return this.checkOnly ? 0 : serve(valid.value());
		}
		parsed.findings().forEach(Bilberryvalved::print);
		return EXIT_SETTINGS;
	}

	private static int serve(DaemonSettings settings) {
		try {
			Daemon daemon = Daemon.start(settings);
			Runtime.getRuntime().addShutdownHook(new Thread(daemon::drain, "drain"));
			daemon.awaitStopped();
			return 0;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return 0;
		}
		catch (Exception ex) {
			LogEvent.of("start-failed")
				.with("cause", ex)
				.with("remedy", "check the addresses in the settings and that the ports are free")
				.log(LOGGER, System.Logger.Level.ERROR);
			return EXIT_START;
		}
	}

	private static void print(Finding finding) {
		System.err.println(finding);
	}

	private static int usage(CmdLineParser parser, String message) {
		System.err.println(message);
		parser.printUsage(System.err);
		return EXIT_USAGE;
	}

}
