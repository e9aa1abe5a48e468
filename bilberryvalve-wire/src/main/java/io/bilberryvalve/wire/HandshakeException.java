package io.bilberryvalve.wire;

/**
 * Reports that the other side of a connection could not be authenticated.
 */
final class HandshakeException extends Exception {

	private static final long serialVersionUID = 1L;

	HandshakeException(String message) {
		super(message);
	}

}
