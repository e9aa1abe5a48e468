package io.bilberryvalve.cli;

/**
 * Exit codes of the command. They are part of its interface.
 */
public enum ExitCode {

	/** The command succeeded; two compared documents are the same. */
	OK(0, "success; no difference"),

	/** Two compared documents differ. */
	DIFFERENT(1, "the compared documents differ"),

	/** A document has errors, or the entry refused it as invalid. */
	INVALID(2, "a document is not valid"),

	/** Another submission was accepted in the meantime. */
	CONFLICT(3, "another submission was accepted first"),

	/** The entry refused the request, which was not run. */
	REFUSED(4, "the entry refused the request; it was not run"),

	/** No entry could be reached; nothing was sent. */
	UNREACHABLE(5, "no entry could be reached; nothing was sent"),

	/** The request was sent without a complete answer and may have been run. */
	UNKNOWN(6, "the request may have been run; repeat it as the message says"),

	/** The arguments are not valid. */
	USAGE(64, "the arguments are not valid"),

	/** A file cannot be read. */
	NO_INPUT(66, "a file cannot be read");

	private final int code;

	private final String text;

	ExitCode(int code, String text) {
		this.code = code;
		this.text = text;
	}

	/**
	 * Returns the number given to the shell.
	 * @return the number
	 */
	public int code() {
		return this.code;
	}

	/**
	 * Returns the meaning.
	 * @return one clause
	 */
	public String text() {
		return this.text;
	}

}
