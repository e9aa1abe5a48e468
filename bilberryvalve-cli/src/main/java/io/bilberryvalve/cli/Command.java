package io.bilberryvalve.cli;

/**
 * A sub-command whose fields args4j has set.
 */
interface Command {

	/**
	 * Runs the command.
	 * @param console where it prints
	 * @return the exit code
	 * @throws CommandException if the command cannot be completed
	 */
	ExitCode run(Console console);

	/**
	 * Tells whether only the usage is to be printed.
	 * @return whether {@code --help} was given
	 */
	boolean help();

	/**
	 * Returns the command whose usage and body apply; a command with sub-commands returns
	 * the chosen one.
	 * @return the command
	 */
	default Command chosen() {
		return this;
	}

	/**
	 * Returns what the command does, for its usage text.
	 * @return its words on the command line and a sentence
	 */
	String summary();

}
