package io.bilberryvalve.cli;

import java.io.PrintStream;
import java.util.Map;

/**
 * What a command reads from and prints to.
 *
 * @param out results
 * @param err errors and remarks
 * @param environment environment variables
 */
public record Console(PrintStream out, PrintStream err, Map<String, String> environment) {

	/**
	 * Copies the variables.
	 */
	public Console {
		environment = Map.copyOf(environment);
	}

}
