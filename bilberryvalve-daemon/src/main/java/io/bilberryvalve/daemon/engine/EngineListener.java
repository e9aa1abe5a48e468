package io.bilberryvalve.daemon.engine;

import io.bilberryvalve.policy.outcome.TokenEvent;

/**
 * Receives the events of a stream. Calls for one stream are not concurrent. After
 * {@link #ended()} or {@link #failed} no call follows.
 */
public interface EngineListener {

	/**
	 * The engine accepted the stream.
	 */
	void opened();

	/**
	 * A token arrived.
	 * @param event the token
	 */
	void token(TokenEvent event);

	/**
	 * The engine reported that the stream is alive.
	 */
	void keepAlive();

	/**
	 * Everything that was read has been reported; {@link EngineStream#read()} reads more.
	 */
	void consumed();

	/**
	 * The engine reported the end of the stream.
	 */
	void ended();

	/**
	 * The stream failed.
	 * @param failure the failure
	 */
	void failed(EngineFailure failure);

}
