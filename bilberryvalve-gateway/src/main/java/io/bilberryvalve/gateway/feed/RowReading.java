package io.bilberryvalve.gateway.feed;

/**
 * How a daemon reads a table.
 */
enum RowReading {

	/** From the store, at the pace of a daemon that no other one asks. */
	ALONE,

	/** From the store, as a delegate that others ask. */
	FOR_OTHERS,

	/** From a delegate. */
	FROM_DELEGATE

}
