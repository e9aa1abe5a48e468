package io.bilberryvalve.daemon.peer;

/**
 * Kinds of messages between daemons.
 */
public enum MessageKind {

	/** Demand of clubs and teams. */
	DEMAND,

	/** A configuration version with its parts. */
	CONFIGURATION_PUSH,

	/** Asks for the configuration. */
	CONFIGURATION_REQUEST,

	/** Load and health of runners. */
	RUNNER_REPORT,

	/** A call forwarded to the daemon that owns an idempotency key. */
	KEY_CALL,

	/** Asks the owner of a request for the tokens after an index. */
	RESUME

}
