package io.bilberryvalve.gateway.relay;

import io.bilberryvalve.gateway.http.HeaderNames;
import io.bilberryvalve.gateway.route.Team;
import io.bilberryvalve.policy.path.LayerPath;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.placement.EngineProfile;
import io.bilberryvalve.policy.quarantine.PromptParts;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;

/**
 * Head of a caller's request, with typed access to the headers that the router reads or
 * sets.
 *
 * @param headers the headers as received
 * @param headerNames names of the headers in this deployment
 */
record RequestHead(HttpHeaders headers, HeaderNames headerNames) {

	@Nullable String attempt() {
		return this.headers.get(this.headerNames.attemptId());
	}

	String key() {
		return this.headers.get(this.headerNames.apiKey(), "");
	}

	String host() {
		return this.headers.get(HttpHeaderNames.HOST, "");
	}

	@Nullable String lastEvent() {
		return this.headers.get(this.headerNames.lastEventId());
	}

	PromptParts promptParts() {
		return PromptParts.parse(this.headers.get(this.headerNames.promptParts(), ""));
	}

	/**
	 * Returns the time for which the caller waits for its answer.
	 * @param defaultValue time in milliseconds if the caller states none
	 * @return milliseconds
	 */
	long deadlineMillis(long defaultValue) {
		return parse(this.headers.get(this.headerNames.deadline(), ""),
				(int) Math.min(Integer.MAX_VALUE, defaultValue));
	}

	/**
	 * Returns the expected size of the request at an engine.
	 * @param engine profile with the usual sizes, for numbers that the caller does not
	 * state
	 * @return number of prompt tokens and expected number of answer tokens
	 */
	RequestSize expectedSize(EngineProfile engine) {
		String[] counts = this.headers.get(this.headerNames.tokenCounts(), "").split(",");
		int prompt = (counts.length > 0) ? parse(counts[0], engine.promptTokens()) : engine.promptTokens();
		int maxAnswer = (counts.length > 1) ? parse(counts[1], engine.answerTokens()) : engine.answerTokens();
		int hint = parse(this.headers.get(this.headerNames.expectedAnswerTokens(), ""), engine.answerTokens());
		return new RequestSize(prompt, Math.min(maxAnswer, hint));
	}

	private static int parse(String text, int defaultValue) {
		try {
			return Math.max(0, Integer.parseInt(text.trim()));
		}
		catch (NumberFormatException ex) {
			return defaultValue;
		}
	}

	/**
	 * Returns the headers of the request to a runner.
	 * @param reservation runners that the request passes
	 * @param remainingMillis time until the deadline of the request
	 * @param team team of the caller, or {@code null} if the route needs no key
	 * @param lastEvent identifier of the last event that the caller received, after which
	 * the stream should resume, or {@code null}
	 * @param bodyBytes length of the body in bytes
	 * @return end-to-end headers of the caller, with those that only the router may set
	 */
	HttpHeaders upstreamHeaders(Reservation reservation, long remainingMillis, @Nullable Team team,
			@Nullable String lastEvent, int bodyBytes) {
		HttpHeaders result = Headers.endToEnd(this.headers);
		this.headerNames.routerOnlyHeaders().forEach(result::remove);
		result.set(this.headerNames.deadline(), Math.max(1, remainingMillis));
		result.set(this.headerNames.expectedRunner(), reservation.firstRunner().id().value());
		if (team != null) {
			result.set(this.headerNames.team(), team.name());
		}
		LayerPath path = reservation.path();
		if (path != null) {
			result.set(this.headerNames.path(), formatPath(reservation, path));
		}
		if (lastEvent != null) {
			result.set(this.headerNames.lastEventId(), lastEvent);
		}
		if (bodyBytes > 0 || this.headers.contains(HttpHeaderNames.CONTENT_LENGTH)
				|| this.headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
			result.set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
		}
		return result;
	}

	private static String formatPath(Reservation reservation, LayerPath path) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < reservation.runners().size(); i++) {
			LayerPath.Hop hop = path.hops().get(i);
			text.append((i > 0) ? "," : "")
				.append(reservation.runners().get(i).address())
				.append('=')
				.append(hop.layers().first())
				.append('-')
				.append(hop.layers().end());
		}
		return text.toString();
	}

}
