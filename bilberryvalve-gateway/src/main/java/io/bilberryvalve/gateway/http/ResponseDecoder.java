package io.bilberryvalve.gateway.http;

import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses on one connection to an upstream. A status that is not a number
 * from 100 to 599 makes the response malformed, since no caller could tell from it
 * whether the request has run.
 */
final class ResponseDecoder extends HttpResponseDecoder {

	private static final int MAX_STATUS_LINE_BYTES = 8192;

	private static final int MAX_HEADER_BYTES = 32768;

	private static final int MAX_CHUNK_BYTES = 65536;

	private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

	private final BooleanSupplier headRequested;

	/**
	 * Creates a decoder.
	 * @param headRequested tells whether the current request has the method HEAD, whose
	 * responses have no body
	 */
	ResponseDecoder(BooleanSupplier headRequested) {
		super(MAX_STATUS_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
		this.headRequested = headRequested;
	}

	@Override
	protected HttpMessage createMessage(String[] initialLine) {
		if (!STATUS.matcher(initialLine[1]).matches()) {
			throw new IllegalArgumentException("the status is no number from 100 to 599: " + initialLine[1]);
		}
		return super.createMessage(initialLine);
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.headRequested.getAsBoolean() || super.isContentAlwaysEmpty(message);
	}

	/**
	 * Tells whether bytes were received behind the last message that was decoded.
	 * @return whether bytes have not been decoded yet
	 */
	boolean hasUnreadBytes() {
		return actualReadableBytes() > 0;
	}

}
