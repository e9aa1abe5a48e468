package io.bilberryvalve.daemon.engine;

import io.bilberryvalve.model.RunnerId;
import org.jspecify.annotations.Nullable;

/**
 * Failure of a stream from an engine.
 *
 * @param kind category of the failure, which decides how the reply is repaired
 * @param runner runner that failed, or {@code null} if not known
 * @param detail description of the failure for log events and error messages
 */
public record EngineFailure(Kind kind, @Nullable RunnerId runner, String detail) {

	/**
	 * Categories of failures.
	 */
	public enum Kind {

		/** No connection could be established, so nothing was sent. */
		REFUSED,

		/**
		 * The dispatch gate was closed when the request was about to be sent, so nothing
		 * was sent.
		 */
		GATE_CLOSED,

		/** The engine answered the request with an error status. */
		REJECTED,

		/** The engine answered that it does not know the stream. */
		UNKNOWN_STREAM,

		/** The connection or the stream ended before the last token. */
		CLOSED,

		/**
		 * A stage failed: the engine reported it, or the stage did not answer a probe.
		 */
		STAGE,

		/** Neither a token nor a keep-alive arrived in time. */
		SILENT,

		/**
		 * The engine sent data that cannot be parsed or a token that cannot be accepted.
		 */
		MALFORMED

	}

}
