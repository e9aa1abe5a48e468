package io.bilberryvalve.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one request. All methods are called on the event loop of the
 * connection; after {@link #onEnd} or {@link #onFailure} none is called.
 */
public interface UpstreamListener {

	/**
	 * The head of the response arrived.
	 * @param head status and headers
	 */
	void onHead(HttpResponse head);

	/**
	 * A part of the body arrived.
	 * @param content the bytes, valid during the call only
	 */
	void onContent(ByteBuf content);

	/**
	 * Everything that has been received so far was passed on.
	 */
	default void onReadComplete() {
	}

	/**
	 * The response is complete.
	 */
	void onEnd();

	/**
	 * The address refuses connections, so that nothing listens there. A call of
	 * {@link #onFailure} follows.
	 */
	default void onConnectionRefused() {
	}

	/**
	 * The response will not become complete.
	 * @param sent whether the request may have reached the runner
	 * @param reason what happened
	 */
	void onFailure(boolean sent, String reason);

}
