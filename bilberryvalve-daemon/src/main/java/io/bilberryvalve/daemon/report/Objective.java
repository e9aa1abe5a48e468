package io.bilberryvalve.daemon.report;

/**
 * Service-level objective. Each one states which events are good and which fraction of
 * events must be good.
 */
public enum Objective {

	/** A request is good unless it failed because of a fault of the system. */
	AVAILABILITY("availability", 0.999),

	/** A reply is good if its first token arrived within 1.6 s. */
	FIRST_TOKEN("first-token", 0.95),

	/** A token is good if it followed the previous one within 51 ms. */
	TOKEN_GAP("token-gap", 0.95);

	/** Longest time to the first token that meets the objective, in milliseconds. */
	public static final long FIRST_TOKEN_BOUND_MILLIS = 1600;

	/** Longest gap between tokens that meets the objective, in milliseconds. */
	public static final long TOKEN_GAP_BOUND_MILLIS = 51;

	private final String text;

	private final double target;

	Objective(String text, double target) {
		this.text = text;
		this.target = target;
	}

	/**
	 * Returns the stable name of the objective in the burn report.
	 * @return the name, in lower case with hyphens
	 */
	public String text() {
		return this.text;
	}

	/**
	 * Returns the fraction of events that must be good.
	 * @return the fraction, between 0 and 1
	 */
	public double target() {
		return this.target;
	}

}
