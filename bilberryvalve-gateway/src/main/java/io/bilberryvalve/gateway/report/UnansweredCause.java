package io.bilberryvalve.gateway.report;

import java.util.Locale;

/**
 * What ended a request that may have run and has no answer of a runner.
 */
public enum UnansweredCause {

	/** The runner broke off, or its response was unusable. */
	RUNNER,

	/** The time limit of the request was reached. */
	TIME_LIMIT,

	/** This daemon stopped. */
	SHUTDOWN,

	/** An error in this daemon. */
	INTERNAL;

	/**
	 * Returns the value of the metric label.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
