package io.bilberryvalve.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one request. All methods are called on the event loop of the
 * connection, and none is called after {@link #onEnd} or {@link #onFailure}.
 */
public interface UpstreamListener {

	/**
	 * Called before the request is sent, and again if a connection had to be opened
	 * first, which may have taken long.
	 * @return whether to send the request; otherwise {@link #onFailure} is called
	 */
	default boolean maySend() {
		return true;
	}

	/**
	 * Called for each response that arrives on the connection, including one to another
	 * request, which is skipped or makes this call fail.
	 * @param head status and headers
	 */
	default void onAnyHead(HttpResponse head) {
	}

	/**
	 * Called when the head of the response has arrived.
	 * @param head status and headers
	 */
	void onHead(HttpResponse head);

	/**
	 * Called when a part of the body has arrived.
	 * @param content the bytes, valid only during the call of this method
	 */
	void onContent(ByteBuf content);

	/**
	 * Called when all data received so far has been passed to this listener.
	 */
	default void onReadComplete() {
	}

	/**
	 * Called when the response is complete.
	 */
	void onEnd();

	/**
	 * Called when the address refuses connections, which means that no process listens
	 * there. A call of {@link #onFailure} follows.
	 */
	default void onConnectionRefused() {
	}

	/**
	 * Called when the response failed and will not become complete.
	 * @param sent whether the request may have reached the runner
	 * @param reason description of the failure
	 */
	void onFailure(boolean sent, String reason);

}
