package io.bilberryvalve.cli;

import java.io.PrintStream;
import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;

/**
 * What a command reads from, prints to and waits with.
 *
 * @param out results
 * @param err errors and remarks
 * @param environment environment variables
 * @param pause waits for a time before a request is repeated
 */
public record Console(PrintStream out, PrintStream err, Map<String, String> environment, Consumer<Duration> pause) {

	/**
	 * Copies the variables.
	 */
	public Console {
		environment = Map.copyOf(environment);
	}

}
