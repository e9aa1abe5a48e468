package io.bilberryvalve.gateway.relay;

import io.bilberryvalve.gateway.http.HeaderNames;
import io.bilberryvalve.gateway.route.Team;
import io.bilberryvalve.policy.path.LayerPath;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.placement.EngineProfile;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;

/**
 * Headers of a caller's request.
 *
 * @param headers the headers as received
 * @param dialect their names
 */
record RequestHead(HttpHeaders headers, HeaderNames dialect) {

	@Nullable String attempt() {
		return this.headers.get(this.dialect.attemptId());
	}

	String key() {
		return this.headers.get(this.dialect.apiKey(), "");
	}

	String host() {
		return this.headers.get(HttpHeaderNames.HOST, "");
	}

	@Nullable String lastEvent() {
		return this.headers.get(this.dialect.lastEventId());
	}

	/**
	 * Returns the time that the caller waits.
	 * @param otherwise the time if the caller states none
	 * @return milliseconds
	 */
	long deadlineMillis(long otherwise) {
		return parse(this.headers.get(this.dialect.deadline(), ""), (int) Math.min(Integer.MAX_VALUE, otherwise));
	}

	/**
	 * Returns the expected size of the request at an engine.
	 * @param engine tells usual sizes, for what the caller does not state
	 * @return the size
	 */
	RequestSize size(EngineProfile engine) {
		String[] parts = this.headers.get(this.dialect.tokenCounts(), "").split(",");
		int prompt = (parts.length > 0) ? parse(parts[0], engine.promptTokens()) : engine.promptTokens();
		int most = (parts.length > 1) ? parse(parts[1], engine.answerTokens()) : engine.answerTokens();
		int hint = parse(this.headers.get(this.dialect.expectedAnswerTokens(), ""), engine.answerTokens());
		return new RequestSize(prompt, Math.min(most, hint));
	}

	private static int parse(String text, int otherwise) {
		try {
			return Math.max(0, Integer.parseInt(text.trim()));
		}
		catch (NumberFormatException ex) {
			return otherwise;
		}
	}

	/**
	 * Returns the headers for a runner.
	 * @param place where the request goes
	 * @param leftMillis time left
	 * @param team team of the caller, or {@code null}
	 * @param lastEvent last event that the caller has, or {@code null}
	 * @param bodyBytes length of the body
	 * @return a new set of headers
	 */
	HttpHeaders upstream(Seat place, long leftMillis, @Nullable Team team, @Nullable String lastEvent, int bodyBytes) {
		HttpHeaders result = Headers.passing(this.headers);
		this.dialect.routerOnlyHeaders().forEach(result::remove);
		result.set(this.dialect.deadline(), Math.max(1, leftMillis));
		result.set(this.dialect.expectedRunner(), place.first().id().value());
		if (team != null) {
			result.set(this.dialect.team(), team.name());
		}
		LayerPath path = place.path();
		if (path != null) {
			result.set(this.dialect.path(), pathText(place, path));
		}
		if (lastEvent != null) {
			result.set(this.dialect.lastEventId(), lastEvent);
		}
		if (bodyBytes > 0 || this.headers.contains(HttpHeaderNames.CONTENT_LENGTH)
				|| this.headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
			result.set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
		}
		return result;
	}

	private static String pathText(Seat place, LayerPath path) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < place.runners().size(); i++) {
			LayerPath.Hop hop = path.hops().get(i);
			text.append((i > 0) ? "," : "")
				.append(place.runners().get(i).address())
				.append('=')
				.append(hop.layers().first())
				.append('-')
				.append(hop.layers().end());
		}
		return text.toString();
	}

}
