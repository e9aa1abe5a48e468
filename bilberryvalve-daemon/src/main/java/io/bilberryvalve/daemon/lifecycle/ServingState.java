package io.bilberryvalve.daemon.lifecycle;

/**
 * State of an entry.
 */
public enum ServingState {

	/** The entry has no configuration yet. */
	STARTING,

	/** The entry accepts requests and stands in the callers' lists. */
	READY,

	/** The entry accepts requests but has left the callers' lists. */
	LEAVING,

	/** The entry refuses new requests and finishes those in progress. */
	DRAINING,

	/** The last request has ended. */
	STOPPED

}
