package io.bilberryvalve.gateway.route;

/**
 * Kind of a request, which states whether the request may be run more than once.
 */
public enum RequestKind {

	/** The request may run any number of times. */
	IDEMPOTENT,

	/** The request may run at most once. */
	NON_IDEMPOTENT,

	/** The response is a stream of events; it may run again only if it can be resumed. */
	STREAMING

}
