package io.bilberryvalve.daemon.engine;

import io.bilberryvalve.policy.outcome.TokenEvent;

/**
 * Listener for the events of one stream. The calls for a stream are not concurrent, and
 * none follows {@link #onEnded()} or {@link #onFailed}.
 */
public interface EngineListener {

	/**
	 * Called when the engine has accepted the request.
	 */
	void onOpened();

	/**
	 * Called when a token has arrived.
	 * @param event the token with its epoch, index and trace
	 */
	void onToken(TokenEvent event);

	/**
	 * Called when the engine has sent a keep-alive instead of a token.
	 */
	void onKeepAlive();

	/**
	 * Called when all events from the data read so far have been reported. Call
	 * {@link EngineStream#read()} to receive more.
	 */
	void onReadComplete();

	/**
	 * Called when the engine has marked the end of the stream.
	 */
	void onEnded();

	/**
	 * Called when the stream has failed.
	 * @param failure what failed, and which runner if known
	 */
	void onFailed(EngineFailure failure);

}
