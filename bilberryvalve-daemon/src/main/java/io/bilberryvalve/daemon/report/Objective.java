package io.bilberryvalve.daemon.report;

/**
 * A service-level objective.
 */
public enum Objective {

	/** Requests that did not fail through a fault of the system. */
	AVAILABILITY("availability", 0.999),

	/** Replies whose first token arrived within 1.6 s. */
	FIRST_TOKEN("first-token", 0.95),

	/** Tokens that followed the previous one within 51 ms. */
	TOKEN_GAP("token-gap", 0.95);

	/** Bound of the first token in milliseconds. */
	public static final long FIRST_TOKEN_BOUND_MILLIS = 1600;

	/** Bound of the gap between tokens in milliseconds. */
	public static final long TOKEN_GAP_BOUND_MILLIS = 51;

	private final String text;

	private final double target;

	Objective(String text, double target) {
		this.text = text;
		this.target = target;
	}

	/**
	 * Returns the stable name.
	 * @return the name
	 */
	public String text() {
		return this.text;
	}

	/**
	 * Returns the fraction of events that must be good.
	 * @return the target, between 0 and 1
	 */
	public double target() {
		return this.target;
	}

}
