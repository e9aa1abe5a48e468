package io.bilberryvalve.daemon.lifecycle;

/**
 * Serving state of an entry. An entry passes through the states in the order of their
 * declaration and may skip some.
 */
public enum ServingState {

	/** The entry has no configuration yet. */
	STARTING,

	/** The entry accepts requests and is part of the entry lists that callers get. */
	READY,

	/** The entry accepts requests but is no longer part of new entry lists. */
	LEAVING,

	/** The entry refuses new requests and finishes those in progress. */
	DRAINING,

	/** The last request has ended. */
	STOPPED

}
