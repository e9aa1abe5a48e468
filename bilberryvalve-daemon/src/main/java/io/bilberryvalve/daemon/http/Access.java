package io.bilberryvalve.daemon.http;

/**
 * Credentials that a route requires.
 */
public enum Access {

	/** No credentials are required. */
	PUBLIC,

	/** The key of a caller. */
	CALLER,

	/** The key of an operator. */
	OPERATOR

}
