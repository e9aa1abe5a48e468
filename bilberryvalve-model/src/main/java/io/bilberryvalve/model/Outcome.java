package io.bilberryvalve.model;

/**
 * What is known about the execution of a request that did not end normally.
 */
public enum Outcome {

	/** The request did not reach a runner and never will. */
	NOT_RUN("not-run"),

	/** The request may have been executed. */
	UNKNOWN("unknown"),

	/** The request was executed. */
	COMPLETED("completed");

	private final String text;

	Outcome(String text) {
		this.text = text;
	}

	/**
	 * Returns the text form used in problem documents.
	 * @return the text, for example {@code not-run}
	 */
	public String text() {
		return this.text;
	}

}
