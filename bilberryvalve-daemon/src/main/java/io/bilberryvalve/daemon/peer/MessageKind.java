package io.bilberryvalve.daemon.peer;

/**
 * Kinds of application messages between daemons. The names of the constants are sent in
 * the messages.
 */
public enum MessageKind {

	/** Reports the demand of clubs and teams at an entry. */
	DEMAND,

	/** Distributes a configuration version with its parts. */
	CONFIGURATION_PUSH,

	/** Asks a peer for the configuration that it has. */
	CONFIGURATION_REQUEST,

	/** Reports the load and health of runners. */
	RUNNER_REPORT,

	/** Forwards a call to the daemon that issued its idempotency key. */
	KEY_CALL,

	/**
	 * Asks the daemon that holds the reply to a request for the tokens after an index.
	 */
	RESUME

}
