package io.bilberryvalve.daemon.engine;

import io.bilberryvalve.daemon.engine.EngineFailure.Kind;

/**
 * Passes an {@link EngineFailure} to the subscriber of a publisher, which signals
 * failures as exceptions only. It records no stack trace.
 */
final class EngineException extends Exception {

	private static final long serialVersionUID = 1L;

	private final transient EngineFailure failure;

	EngineException(Kind kind, String detail) {
		super(detail, null, false, false);
		this.failure = new EngineFailure(kind, null, detail);
	}

	EngineFailure failure() {
		return this.failure;
	}

}
