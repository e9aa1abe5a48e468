package io.bilberryvalve.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Result of a short HTTP call: a complete response or a failure.
 */
public sealed interface HttpResult {

	/**
	 * A complete response.
	 *
	 * @param status status code
	 * @param headers headers of the response
	 * @param body whole body, empty if the response has none
	 */
	record Response(int status, HttpHeaders headers, byte[] body) implements HttpResult {

	}

	/**
	 * Failure of a call, for which no complete response arrived.
	 *
	 * @param sent whether the server may have received the request
	 * @param reason description of the failure
	 */
	record Failed(boolean sent, String reason) implements HttpResult {

	}

}
