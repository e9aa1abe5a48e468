package io.bilberryvalve.daemon.http;

/**
 * Who may use a route.
 */
public enum Access {

	/** Everybody. */
	PUBLIC,

	/** Callers with a key. */
	CALLER,

	/** Operators with a key. */
	OPERATOR

}
