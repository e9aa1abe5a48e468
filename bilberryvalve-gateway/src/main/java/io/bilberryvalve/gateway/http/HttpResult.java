package io.bilberryvalve.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * End of a short call.
 */
public sealed interface HttpResult {

	/**
	 * A complete response.
	 *
	 * @param status the status
	 * @param headers the headers
	 * @param body the body
	 */
	record Response(int status, HttpHeaders headers, byte[] body) implements HttpResult {

	}

	/**
	 * No complete response.
	 *
	 * @param sent whether the request may have been received
	 * @param reason what happened
	 */
	record Failed(boolean sent, String reason) implements HttpResult {

	}

}
