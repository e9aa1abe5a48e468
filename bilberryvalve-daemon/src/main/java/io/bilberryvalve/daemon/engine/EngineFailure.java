package io.bilberryvalve.daemon.engine;

import io.bilberryvalve.model.RunnerId;
import org.jspecify.annotations.Nullable;

/**
 * Why a stream failed.
 *
 * @param kind kind of the failure
 * @param runner runner that failed, or {@code null} if not known
 * @param detail what happened
 */
public record EngineFailure(Kind kind, @Nullable RunnerId runner, String detail) {

	/**
	 * Kinds of failures.
	 */
	public enum Kind {

		/** No connection was made; nothing was sent. */
		REFUSED,

		/** The dispatch gate was closed; nothing was sent. */
		GATE_CLOSED,

		/** The engine refused the order. */
		REJECTED,

		/** The engine does not know the stream. */
		UNKNOWN_STREAM,

		/** The connection closed before the end of the stream. */
		CLOSED,

		/** The engine reported the failure of a stage. */
		STAGE,

		/** Neither a token nor a keep-alive arrived in time. */
		SILENT,

		/** The engine sent something that cannot be used. */
		MALFORMED

	}

}
