package io.bilberryvalve.cli;

import org.kohsuke.args4j.Option;

/**
 * Options of all commands.
 */
abstract class LocalOptions implements Command {

	@Option(name = "--json", usage = "print the result as one line of JSON")
	boolean json;

	@Option(name = "--help", aliases = "-h", help = true, usage = "print this text")
	boolean help;

	@Override
	public boolean help() {
		return this.help;
	}

}
