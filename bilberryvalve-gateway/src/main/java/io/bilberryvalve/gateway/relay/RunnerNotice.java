package io.bilberryvalve.gateway.relay;

import java.util.List;
import java.util.regex.Pattern;

import io.bilberryvalve.gateway.http.HeaderNames;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * What a runner says about itself in the head of any response, also of one that answers
 * another request.
 *
 * @param leaving whether it is about to leave and wants no new requests
 * @param pauseMillis time in milliseconds for which it wants no requests from this
 * daemon, 0 for none
 */
record RunnerNotice(boolean leaving, long pauseMillis) {

	/** Notice that says nothing. */
	static final RunnerNotice NONE = new RunnerNotice(false, 0);

	private static final String LEAVING = "1";

	/** Seconds with an optional fraction; a date, a sign or an exponent is no delay. */
	private static final Pattern SECONDS = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Checks the pause.
	 * @param leaving whether it is about to leave and wants no new requests
	 * @param pauseMillis time in milliseconds for which it wants no requests from this
	 * daemon, 0 for none
	 * @throws IllegalArgumentException if the pause is negative
	 */
	RunnerNotice {
		if (pauseMillis < 0) {
			throw new IllegalArgumentException("a pause must not be negative: " + pauseMillis + " ms");
		}
	}

	/**
	 * Reads the notice from a response. Of several delays the longest counts, and values
	 * that are no delays are ignored.
	 * @param head status and headers of the response
	 * @param names names of the headers in this deployment
	 * @return the notice
	 */
	static RunnerNotice of(HttpResponse head, HeaderNames names) {
		boolean leaving = head.headers().getAll(names.leaving()).stream().anyMatch(LEAVING::equals);
		long pause = head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
				? longestMillis(head.headers().getAll(HttpHeaderNames.RETRY_AFTER)) : 0;
		return (leaving || pause > 0) ? new RunnerNotice(leaving, pause) : NONE;
	}

	private static long longestMillis(List<String> delays) {
		return delays.stream()
			.filter((delay) -> SECONDS.matcher(delay).matches())
			.mapToLong((delay) -> (long) Math.ceil(Double.parseDouble(delay) * MILLIS_PER_SECOND))
			.max()
			.orElse(0);
	}

}
