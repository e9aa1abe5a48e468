package io.bilberryvalve.daemon.engine;

import io.bilberryvalve.policy.outcome.TokenEvent;

/**
 * Receives the events of a stream. Calls for one stream are not concurrent. After
 * {@link #onEnded()} or {@link #onFailed} no call follows.
 */
public interface EngineListener {

	/**
	 * The engine accepted the stream.
	 */
	void onOpened();

	/**
	 * A token arrived.
	 * @param event the token
	 */
	void onToken(TokenEvent event);

	/**
	 * The engine reported that the stream is alive.
	 */
	void onKeepAlive();

	/**
	 * Everything that was read has been reported; {@link EngineStream#read()} reads more.
	 */
	void onReadComplete();

	/**
	 * The engine reported the end of the stream.
	 */
	void onEnded();

	/**
	 * The stream failed.
	 * @param failure the failure
	 */
	void onFailed(EngineFailure failure);

}
