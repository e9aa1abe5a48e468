package io.bilberryvalve.gateway.peer;

/**
 * Kinds of datagrams between daemons.
 */
enum MessageKind {

	/** State of one daemon. */
	STATE("state"),

	/** Usage of many daemons in sum. */
	DIGEST("digest"),

	/** Presence of many daemons. */
	ROSTER("roster"),

	/** Bytes that are no message. */
	UNREADABLE("unreadable");

	private final String label;

	MessageKind(String label) {
		this.label = label;
	}

	String label() {
		return this.label;
	}

}
